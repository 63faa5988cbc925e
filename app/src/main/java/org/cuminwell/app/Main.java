package org.cuminwell.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Starts the subcommand that the command line names, or only checks a process's settings.
 *
 * <p>Used once. Not thread safe.
 */
public final class Main {

  private static final System.Logger LOG = System.getLogger(Main.class.getName());
  private static final String CHECK = "check";
  private static final String HELP = "--help";

  private final Map<String, Command> commands = new LinkedHashMap<>();

  private Main() {
    commands.put("gateway", new GatewayCommand());
    commands.put("control", new ControlCommand());
    commands.put("ticket", new TicketCommand());
    commands.put("status", new StatusCommand());
    commands.put("watch", new WatchCommand());
    commands.put("refusals", new RefusalsCommand());
    commands.put("load", new LoadCommand());
    commands.put(CHECK, new CheckCommand());
  }

  /** Runs the program and exits with the code of its subcommand. */
  public static void main(String[] args) throws InterruptedException {
    handleHangUps(Main::noteHangUp, args);
    StructuredLog log = StructuredLog.install();
    int code = runOrTell(args);
    log.flush();
    System.exit(code);
  }

  /**
   * Calls the handler at each SIGHUP, which else ends a process, from before its start on.
   *
   * @return whether the arguments name a long-lived process
   */
  static boolean handleHangUps(Runnable handler, String... args) {
    boolean isProcess =
        args.length > 0 && new Main().commands.get(args[0]) instanceof ProcessCommand;
    if (isProcess) {
      Signals.handle("HUP", handler);
    }
    return isProcess;
  }

  private static void noteHangUp() {
    LOG.log(System.Logger.Level.INFO, "changed settings are read at the next start");
  }

  /** Ends a process that can't go on with a line that says why. */
  private static int runOrTell(String... args) throws InterruptedException {
    try {
      return run(args);
    } catch (RuntimeException | Error e) {
      LOG.log(System.Logger.Level.ERROR, "the process ends, since it can't go on", e);
      return Command.FAILED;
    }
  }

  /** Runs the program and returns the exit code. */
  static int run(String... args) throws InterruptedException {
    try {
      Main main = new Main();
      boolean checksSettings = main.checksSettings(args);
      List<String> words = Arrays.asList(args).subList(checksSettings ? 1 : 0, args.length);
      return main.run(checksSettings, words);
    } catch (ParameterException | SettingException e) {
      System.err.println("cuminwell: " + e.getMessage());
      return Command.USAGE;
    } catch (IllegalStateException e) {
      System.err.println("cuminwell: " + e.getMessage());
      return Command.FAILED;
    }
  }

  /**
   * Returns whether the arguments ask to check settings: {@code check} stands before a process or a
   * file of flags. Any other word after it names a file with a configuration.
   */
  private boolean checksSettings(String... args) {
    return args.length > 1
        && args[0].equals(CHECK)
        && (args[1].startsWith("@") || commands.get(args[1]) instanceof ProcessCommand);
  }

  private int run(boolean checksSettings, List<String> words)
      throws SettingException, InterruptedException {
    JCommander line = parser();
    if (words.contains(HELP)) {
      printHelp(line, words.stream().filter(commands::containsKey).findFirst().orElse(null));
      return Command.OK;
    }
    line.parse(words.toArray(String[]::new));
    String name = line.getParsedCommand();
    Command command = name == null ? null : commands.get(name);
    if (name == null || command == null) {
      printHelp(line, name);
      return Command.USAGE;
    }
    if (!checksSettings) {
      return command.run();
    }
    JCommander flags = Objects.requireNonNull(line.getCommands().get(name));
    return check(command, flags, Set.copyOf(words));
  }

  private static int check(Command command, JCommander line, Set<String> words)
      throws SettingException {
    if (!(command instanceof ProcessCommand process)) {
      throw new SettingException(CHECK, "name gateway or control and its flags");
    }
    process.settings();
    System.out.print(new EffectiveSettings(Settings::fromEnvironment, flags(words)).text(line));
    return Command.OK;
  }

  private static Set<String> flags(Set<String> words) {
    return words.stream()
        .flatMap(word -> Stream.of(word, word.replaceFirst("=.*", "")))
        .collect(Collectors.toUnmodifiableSet());
  }

  private static void printHelp(JCommander line, @Nullable String name) {
    if (name == null) {
      line.usage();
      System.out.println("  Put 'check' before gateway or control to check its settings only.");
    } else {
      line.getUsageFormatter().usage(name);
    }
    System.out.println("  Each flag can be set by a variable: --host-id as CUMINWELL_HOST_ID.");
  }

  private JCommander parser() {
    JCommander.Builder builder =
        JCommander.newBuilder().programName("cuminwell").defaultProvider(Settings::fromEnvironment);
    commands.forEach(builder::addCommand);
    JCommander line = builder.build();
    return line;
  }
}
