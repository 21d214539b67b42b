//! Type aliases for identifiers.

use crate::definition::{Object, doc};
use crate::field;
use eyre::Result;
use proc_macro2::TokenStream;
use quote::{format_ident, quote};

pub(crate) fn generate(name: &str, definition: &Object) -> Result<TokenStream> {
    let doc = doc(definition);
    let ident = format_ident!("{name}");
    let ty = field::ty(definition)?;
    Ok(quote! { #doc pub type #ident = #ty; })
}
