//! Generates enums, with and without data.

use crate::definition::{Object, doc};
use eyre::{OptionExt, Result};
use proc_macro2::TokenStream;
use quote::{format_ident, quote};
use serde_json::Value;

/// Generates an enum without data from `enum`. Its labels are the variants' names in kebab case.
pub(crate) fn without_data(name: &str, definition: &Object) -> Result<TokenStream> {
    let doc = doc(definition);
    let ident = format_ident!("{name}");
    let names = strings(definition, "enum")?;
    let variants: Vec<_> = names.iter().map(|name| format_ident!("{name}")).collect();
    let labels: Vec<_> = names.iter().map(|name| kebab_case(name)).collect();
    let expected = labels.join(" or ");
    Ok(quote! {
        #doc
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        pub enum #ident { #(#variants),* }

        impl #ident {
            /// All variants.
            pub const ALL: &'static [Self] = &[#(Self::#variants),*];

            /// Name in settings, headers and metrics.
            pub const fn label(self) -> &'static str {
                match self { #(Self::#variants => #labels),* }
            }
        }

        impl Setting for #ident {
            const EXPECTED: &'static str = #expected;

            fn read(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|variant| variant.label() == text)
            }
        }
    })
}

/// Generates an enum from `oneOf`. Each variant has the name of a definition and holds its type.
pub(crate) fn with_data(name: &str, definition: &Object) -> Result<TokenStream> {
    let doc = doc(definition);
    let ident = format_ident!("{name}");
    let variants: Vec<_> = definition["oneOf"]
        .as_array()
        .ok_or_eyre(format!("`oneOf` of `{name}` is not an array"))?
        .iter()
        .map(|variant| {
            let target = variant["$ref"].as_str().unwrap_or_default();
            format_ident!("{}", target.trim_start_matches("#/$defs/"))
        })
        .collect();
    Ok(quote! {
        #doc
        #[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
        pub enum #ident { #(#variants(#variants)),* }

        #(impl From<#variants> for #ident {
            fn from(value: #variants) -> Self { Self::#variants(value) }
        })*
    })
}

/// The strings of the array `key`.
fn strings(definition: &Object, key: &str) -> Result<Vec<String>> {
    let array = definition[key]
        .as_array()
        .ok_or_eyre("expected an array of strings")?;
    Ok(array
        .iter()
        .filter_map(Value::as_str)
        .map(String::from)
        .collect())
}

fn kebab_case(name: &str) -> String {
    let mut label = String::new();
    for character in name.chars() {
        if character.is_uppercase() && !label.is_empty() {
            label.push('-');
        }
        label.extend(character.to_lowercase());
    }
    label
}
