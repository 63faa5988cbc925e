package org.cuminwell.app;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Starts the subcommand that the command line names. */
public final class Main {

  @Parameter(names = "--help", help = true, description = "print this")
  private boolean help;

  private final Map<String, Command> commands = new LinkedHashMap<>();

  private Main() {
    commands.put("gateway", new GatewayCommand());
    commands.put("control", new ControlCommand());
    commands.put("ticket", new TicketCommand());
    commands.put("status", new StatusCommand());
    commands.put("watch", new WatchCommand());
    commands.put("load", new LoadCommand());
  }

  /** Runs the program and exits with the code of its subcommand. */
  public static void main(String[] args) throws InterruptedException {
    StructuredLog.install();
    System.exit(new Main().run(args));
  }

  private int run(String[] args) throws InterruptedException {
    JCommander line = parser();
    try {
      line.parse(args);
      Command command = commands.get(String.valueOf(line.getParsedCommand()));
      if (help || command == null) {
        line.usage();
        return help ? Command.OK : Command.USAGE;
      }
      return command.run();
    } catch (ParameterException | SettingException e) {
      System.err.println("cuminwell: " + e.getMessage());
      return Command.USAGE;
    } catch (IllegalStateException e) {
      System.err.println("cuminwell: " + e.getMessage());
      return Command.FAILED;
    }
  }

  private JCommander parser() {
    JCommander.Builder builder =
        JCommander.newBuilder()
            .programName("cuminwell")
            .defaultProvider(Settings::fromEnvironment)
            .addObject(this);
    commands.forEach(builder::addCommand);
    return builder.build();
  }
}
