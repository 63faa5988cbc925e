package org.cuminwell.app;

import java.io.Serial;

/** Reports a setting that is wrong, with the flag and what is allowed. */
final class SettingException extends Exception {

  @Serial private static final long serialVersionUID = 1L;

  SettingException(String flag, String problem) {
    super(flag + ": " + problem);
  }

  SettingException(String flag, IllegalArgumentException cause) {
    super(flag + ": " + cause.getMessage(), cause);
  }
}
