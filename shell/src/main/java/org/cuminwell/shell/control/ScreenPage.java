package org.cuminwell.shell.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;

/** Loads the HTML page that shows operators the state of the system. Stateless and thread safe. */
final class ScreenPage {

  private static final String RESOURCE = "screen.html";

  private ScreenPage() {}

  /** Returns the page as UTF-8 bytes. */
  static byte[] html() {
    try (InputStream in = ScreenPage.class.getResourceAsStream(RESOURCE)) {
      if (in == null) {
        throw new IllegalStateException(RESOURCE + " is missing from the build");
      }
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
