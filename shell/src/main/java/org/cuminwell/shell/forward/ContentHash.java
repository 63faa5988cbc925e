package org.cuminwell.shell.forward;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;
import org.cuminwell.shell.exchange.RequestMessage;

/**
 * Computes a hash of what a request holds apart from its headers, to recognise repetitions.
 *
 * <p>It only tells apart requests of one customer with the same path, so a fast checksum with the
 * length serves. Stateless and thread safe.
 */
final class ContentHash {

  private ContentHash() {}

  /** Returns a hash of the method, the query and the body. */
  static long of(RequestMessage request) {
    CRC32C checksum = new CRC32C();
    String line = request.method() + " " + request.query().orElse("");
    checksum.update(line.getBytes(StandardCharsets.UTF_8));
    checksum.update(request.body());
    return ((long) request.body().length << Integer.SIZE) | checksum.getValue();
  }
}
