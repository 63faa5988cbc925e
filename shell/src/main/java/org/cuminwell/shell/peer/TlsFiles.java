package org.cuminwell.shell.peer;

import java.nio.file.Path;

/**
 * Names the PEM files with which a host and its peers authenticate each other. Immutable and thread
 * safe.
 *
 * @param certificate the host's certificate; its common name is the host's id
 * @param key the private key of the certificate
 * @param authorities the certificates of the authorities that are trusted to sign peers'
 *     certificates
 */
public record TlsFiles(Path certificate, Path key, Path authorities) {}
