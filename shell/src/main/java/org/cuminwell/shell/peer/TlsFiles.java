package org.cuminwell.shell.peer;

import java.nio.file.Path;

/**
 * Names the PEM files that prove a host to the others. Immutable and thread safe.
 *
 * @param certificate the host's certificate; its common name is the host's id
 * @param key the private key of the certificate
 * @param authorities the certificates of those who may vouch for other hosts
 */
public record TlsFiles(Path certificate, Path key, Path authorities) {}
