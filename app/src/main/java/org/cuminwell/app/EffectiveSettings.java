package org.cuminwell.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Prints the settings of a command as they would be in force, with where each came from.
 *
 * <p>Values of secret flags are masked, so that the output can be shown to others. Immutable and
 * thread safe.
 */
final class EffectiveSettings {

  private static final Set<String> SECRET_WORDS = Set.of("token", "secret", "password");
  private static final String MASK = "********";

  private final Function<String, @Nullable String> environment;
  private final Set<String> arguments;

  /**
   * Makes a printer.
   *
   * @param environment finds the variable that matches a flag
   * @param arguments the words of the command line
   */
  EffectiveSettings(Function<String, @Nullable String> environment, Set<String> arguments) {
    this.environment = environment;
    this.arguments = Set.copyOf(arguments);
  }

  /** Returns a line for each flag of the command, in the order of names. */
  String text(JCommander command) {
    Map<String, String> lines = new TreeMap<>();
    for (ParameterDescription parameter : command.getParameters()) {
      String flag = parameter.getLongestName();
      if (!parameter.isHelp()) {
        lines.put(flag, line(flag, parameter));
      }
    }
    return String.join("", lines.values());
  }

  private String line(String flag, ParameterDescription parameter) {
    Object value = parameter.getParameterized().get(parameter.getObject());
    String shown =
        isSecret(flag) && !String.valueOf(value).isEmpty() ? MASK : String.valueOf(value);
    return String.format(Locale.ROOT, "%-24s %-40s %s%n", flag, shown, source(flag));
  }

  private String source(String flag) {
    if (arguments.contains(flag)) {
      return "command line";
    }
    return environment.apply(flag) == null ? "default" : Settings.variable(flag);
  }

  private static boolean isSecret(String flag) {
    return SECRET_WORDS.stream().anyMatch(flag::contains);
  }
}
