package org.cuminwell.app;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import org.cuminwell.core.model.HostAddress;
import org.jspecify.annotations.Nullable;

/** Checks flags and their environment variables. Stateless and thread safe. */
final class Settings {

  private static final String PREFIX = "CUMINWELL_";

  private Settings() {}

  /** Returns the value of the environment variable that matches the flag, if it is set. */
  static @Nullable String fromEnvironment(String flag) {
    return System.getenv(variable(flag));
  }

  /** Returns the name of the environment variable that matches the flag. */
  static String variable(String flag) {
    return PREFIX + flag.replaceFirst("^-+", "").replace('-', '_').toUpperCase(Locale.ROOT);
  }

  /**
   * Returns the value that {@code make} makes of the text.
   *
   * @throws SettingException if it refuses the text
   */
  static <T> T checked(String flag, String text, Function<String, T> make) throws SettingException {
    try {
      return make.apply(text);
    } catch (IllegalArgumentException e) {
      throw new SettingException(flag, e);
    }
  }

  /**
   * Returns a list of addresses.
   *
   * @throws SettingException if one is not {@code HOST:PORT}
   */
  static List<HostAddress> addresses(String flag, List<String> texts) throws SettingException {
    List<HostAddress> addresses = new ArrayList<>();
    for (String text : texts) {
      addresses.add(checked(flag, text, HostAddress::parse));
    }
    return addresses;
  }
}
