//! Maps the types of properties to Rust types.

use crate::definition::Object;
use eyre::{OptionExt, Result, bail};
use proc_macro2::TokenStream;
use quote::{format_ident, quote};
use serde_json::Value;

/// Rust type of `property`; an `Option` if it is nullable.
pub(crate) fn rust_type(property: &Object) -> Result<TokenStream> {
    let ty = non_nullable(property)?;
    if property.get("nullable").and_then(Value::as_bool) == Some(true) {
        return Ok(quote! { Option<#ty> });
    }
    Ok(ty)
}

/// Rust type of `property` without regard to `nullable`.
fn non_nullable(property: &Object) -> Result<TokenStream> {
    if let Some(target) = property.get("$ref").and_then(Value::as_str) {
        let ident = format_ident!("{}", target.trim_start_matches("#/$defs/"));
        return Ok(quote! { #ident });
    }
    let kind = string(property, "type").ok_or_eyre("property has neither `type` nor `$ref`")?;
    let format = string(property, "format").unwrap_or_default();
    Ok(match (kind, format) {
        ("array", _) => {
            let item = rust_type(child(property, "items")?)?;
            quote! { Vec<#item> }
        }
        ("boolean", _) => quote! { bool },
        ("integer", "uint8") => quote! { u8 },
        ("integer", "uint16") => quote! { u16 },
        ("integer", "uint32") => quote! { u32 },
        ("integer", "uint64") => quote! { u64 },
        ("integer", "uint128") => quote! { u128 },
        ("object", _) => {
            let item = rust_type(child(property, "additionalProperties")?)?;
            quote! { BTreeMap<Box<str>, #item> }
        }
        ("string", "bytes") => quote! { Vec<u8> },
        ("string", "duration") => quote! { Duration },
        ("string", "ratio") => quote! { Ratio },
        ("string", "socket") => quote! { SocketAddr },
        ("string", "") => quote! { Box<str> },
        (kind, format) => bail!("type `{kind}` with format `{format}` is not supported"),
    })
}

/// Whether the Rust type is `Vec<u8>`, which serde has to treat as bytes.
pub(crate) fn is_bytes(property: &Object) -> bool {
    string(property, "format") == Some("bytes")
}

/// Whether the Rust type is `BTreeMap`.
pub(crate) fn is_map(property: &Object) -> bool {
    string(property, "type") == Some("object")
}

/// The string `key` of a property, if there is one.
pub(crate) fn string<'a>(property: &'a Object, key: &str) -> Option<&'a str> {
    property.get(key).and_then(Value::as_str)
}

/// The object `key` of a property.
fn child<'a>(property: &'a Object, key: &str) -> Result<&'a Object> {
    property
        .get(key)
        .and_then(Value::as_object)
        .ok_or_eyre(format!("property has no object `{key}`"))
}
