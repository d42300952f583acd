//! TLS certificates for the connections between vms.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use eyre::{Context, Result, eyre};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};

use crate::CommandOutcome;

const PEER_NAME: &str = "carobglade-peer";

/// Writes the certificate of a new certificate authority, and a certificate signed by the authority
/// with its private key. The private key of the authority is not kept, so replacing one certificate
/// means replacing all of them.
pub fn write(args: &ArgMatches) -> Result<CommandOutcome> {
    let directory = args.get_one::<PathBuf>("directory").ok_or_else(|| eyre!("no directory"))?;
    std::fs::create_dir_all(directory)?;
    let mut authority = CertificateParams::new(Vec::new())?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    authority.distinguished_name.push(DnType::CommonName, "carobglade authority");
    let authority_key = KeyPair::generate()?;
    let ca = authority.self_signed(&authority_key)?;
    let issuer = Issuer::new(authority, authority_key);
    let key = KeyPair::generate()?;
    let mut leaf = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    leaf.distinguished_name.push(DnType::CommonName, PEER_NAME);
    let cert = leaf.signed_by(&key, &issuer)?;
    write_file(directory, "ca.pem", &ca.pem())?;
    write_file(directory, "vm.pem", &cert.pem())?;
    write_file(directory, "vm.key", &key.serialize_pem())?;
    println!("wrote ca.pem, vm.pem and vm.key to {}", directory.display());
    Ok(CommandOutcome::Done)
}

fn write_file(directory: &Path, name: &str, text: &str) -> Result<()> {
    let path = directory.join(name);
    std::fs::write(&path, text).wrap_err_with(|| path.display().to_string())
}
