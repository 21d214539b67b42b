//! Enums, plain or with data.

use crate::definition::{Object, doc};
use eyre::{OptionExt, Result};
use proc_macro2::TokenStream;
use quote::{format_ident, quote};
use serde_json::Value;

/// An enum of bare names, with its names in lower case for settings.
pub(crate) fn plain(name: &str, definition: &Object) -> Result<TokenStream> {
    let doc = doc(definition);
    let ident = format_ident!("{name}");
    let names = strings(definition, "enum")?;
    let variants: Vec<_> = names.iter().map(|name| format_ident!("{name}")).collect();
    let labels: Vec<_> = names.iter().map(|name| kebab(name)).collect();
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

/// An enum whose variants carry the definition of the same name.
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

fn strings(definition: &Object, key: &str) -> Result<Vec<String>> {
    let array = definition[key].as_array().ok_or_eyre("not an array")?;
    Ok(array
        .iter()
        .filter_map(Value::as_str)
        .map(String::from)
        .collect())
}

fn kebab(name: &str) -> String {
    let mut label = String::new();
    for character in name.chars() {
        if character.is_uppercase() && !label.is_empty() {
            label.push('-');
        }
        label.extend(character.to_lowercase());
    }
    label
}
