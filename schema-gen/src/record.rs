//! Generates structs.

use crate::definition::{Object, doc};
use crate::field;
use eyre::{OptionExt, Result, WrapErr};
use proc_macro2::TokenStream;
use quote::{format_ident, quote};

/// Generates a public struct `name` with a field for each property, in the order of the schema.
pub(crate) fn generate(name: &str, definition: &Object) -> Result<TokenStream> {
    let ident = format_ident!("{name}");
    let struct_doc = doc(definition);
    let mut fields = TokenStream::new();
    for (key, property) in properties(name, definition)? {
        let field = format_ident!("{key}");
        let field_doc = doc(property);
        let ty = field::rust_type(property).wrap_err_with(|| format!("in `{name}.{key}`"))?;
        let bytes = field::is_bytes(property).then(|| quote! { #[serde(with = "serde_bytes")] });
        fields.extend(quote! { #field_doc #bytes pub #field: #ty, });
    }
    Ok(quote! {
        #struct_doc
        #[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
        pub struct #ident { #fields }
    })
}

/// Properties of the definition `name`, in the order of the schema.
pub(crate) fn properties<'a>(
    name: &str,
    definition: &'a Object,
) -> Result<Vec<(&'a str, &'a Object)>> {
    definition
        .get("properties")
        .and_then(|properties| properties.as_object())
        .ok_or_eyre(format!("`{name}` has no object `properties`"))?
        .iter()
        .map(|(key, property)| {
            let property = property
                .as_object()
                .ok_or_eyre(format!("`{name}.{key}` is not an object"))?;
            Ok((key.as_str(), property))
        })
        .collect()
}
