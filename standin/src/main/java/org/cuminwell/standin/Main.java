package org.cuminwell.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

/** Starts a stand-in endpoint: {@code engine} or {@code service}. */
public final class Main {

  private static final int BACKLOG = 1024;
  private static final int USAGE_EXIT_CODE = 2;

  private Main() {}

  /** Starts the endpoint that the arguments name and serves until the process is ended. */
  public static void main(String[] args) throws IOException {
    StandinFlags engine = new StandinFlags();
    StandinFlags service = new StandinFlags();
    JCommander commands =
        JCommander.newBuilder()
            .programName("cuminwell-standin")
            .addCommand("engine", engine)
            .addCommand("service", service)
            .build();
    try {
      commands.parse(args);
    } catch (ParameterException e) {
      fail(commands, String.valueOf(e.getMessage()));
    }
    switch (String.valueOf(commands.getParsedCommand())) {
      case "engine" -> serve(engine, new Engine(engine));
      case "service" -> serve(service, new PlainService());
      default -> fail(commands, "name a command: engine or service");
    }
  }

  private static void serve(StandinFlags flags, Endpoint endpoint) throws IOException {
    int colon = flags.listen.lastIndexOf(':');
    InetSocketAddress address =
        new InetSocketAddress(
            flags.listen.substring(0, colon), Integer.parseInt(flags.listen.substring(colon + 1)));
    HttpServer server = HttpServer.create(address, BACKLOG);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", endpoint::handle);
    server.start();
    Announcer announcer = Announcer.start(flags, endpoint);
    Runtime.getRuntime().addShutdownHook(new Thread(announcer::leave, "leave"));
  }

  private static void fail(JCommander commands, String message) {
    System.err.println(message);
    commands.usage();
    System.exit(USAGE_EXIT_CODE);
  }
}
