//! Generates type aliases, such as those of identifiers.

use crate::definition::{Object, doc};
use crate::field;
use eyre::Result;
use proc_macro2::TokenStream;
use quote::{format_ident, quote};

/// Generates a public type alias `name` for the scalar type of `definition`.
pub(crate) fn generate(name: &str, definition: &Object) -> Result<TokenStream> {
    let doc = doc(definition);
    let ident = format_ident!("{name}");
    let ty = field::rust_type(definition)?;
    Ok(quote! { #doc pub type #ident = #ty; })
}
