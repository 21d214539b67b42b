//! Generates the defaults and keys of settings structs.

use crate::definition::Object;
use crate::field;
use crate::record::properties;
use eyre::Result;
use proc_macro2::TokenStream;
use quote::{format_ident, quote};
use serde_json::Value;

/// Generates the impls of `Default` and `Settings`. A map has no key: its entries come from sections of
/// their own, such as `[class NAME]` in a service file.
pub(crate) fn generate(name: &str, definition: &Object) -> Result<TokenStream> {
    let ident = format_ident!("{name}");
    let mut defaults = TokenStream::new();
    let mut keys = TokenStream::new();
    let mut arms = TokenStream::new();
    for (key, property) in properties(name, definition)? {
        let field = format_ident!("{key}");
        if field::is_map(property) {
            defaults.extend(quote! { #field: BTreeMap::new(), });
            continue;
        }
        let ty = field::rust_type(property)?;
        let default = default_text(property);
        let description = field::string(property, "description").unwrap_or_default();
        defaults.extend(quote! { #field: crate::parse_default(#default), });
        keys.extend(quote! { Key { name: #key, default: #default, description: #description }, });
        arms.extend(quote! {
            #key => self.#field = <#ty as Setting>::read(value).ok_or(Unset::Expected(<#ty as Setting>::EXPECTED))?,
        });
    }
    Ok(quote! {
        impl Default for #ident {
            fn default() -> Self { Self { #defaults } }
        }

        impl crate::Settings for #ident {
            const KEYS: &'static [Key] = &[#keys];

            fn set(&mut self, key: &str, value: &str) -> Result<(), Unset> {
                match key {
                    #arms
                    _ => return Err(Unset::UnknownKey),
                }
                Ok(())
            }
        }
    })
}

/// Default of a property as text that `Setting::read` accepts; empty if it has none.
fn default_text(property: &Object) -> String {
    match property.get("default") {
        Some(Value::String(text)) => text.clone(),
        Some(Value::Bool(true)) => "yes".to_string(),
        Some(Value::Bool(false)) => "no".to_string(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}
