package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cuminwell.app.check.CheckOutput;
import org.cuminwell.app.check.CheckReport;
import org.cuminwell.app.check.ConfigurationFileCheck;
import org.cuminwell.app.check.UnreadableFileException;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.platform.ConfigurationDocuments;
import org.cuminwell.platform.ConfigurationDocuments.Result;

/** Checks a file with a configuration document or a ticket. Nothing is sent but one read. */
@Parameters(commandDescription = "Check a configuration document or a ticket: check FILE")
final class CheckCommand implements Command {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  @Parameter(description = "FILE")
  private List<String> files = new ArrayList<>();

  @Parameter(
      names = "--against",
      description = "HOST:PORT of a control host's --platform, to compare with what is in force")
  private String against = "";

  @Parameter(
      names = "--data-centre-region",
      description = "DATA-CENTRE=REGION, for each data centre, to check the names of regions")
  private List<String> dataCentres = new ArrayList<>();

  @Parameter(names = "--strict", description = "exit with 1 also for warnings")
  private boolean strict;

  @Parameter(names = "--json", description = "print one JSON object instead of text")
  private boolean json;

  @Override
  public int run() throws SettingException, InterruptedException {
    if (files.size() != 1) {
      throw new SettingException("check", "name one FILE, or gateway or control and its flags");
    }
    String file = files.getFirst();
    ConfigurationFileCheck check =
        new ConfigurationFileCheck(
            PlatformFlags.parseRegions("--data-centre-region", dataCentres), strict);
    Optional<HostAddress> host =
        against.isEmpty()
            ? Optional.empty()
            : Optional.of(Settings.checked("--against", against, HostAddress::parse));
    CheckReport report;
    Optional<UnreadableFileException> silent = Optional.empty();
    try {
      byte[] text = read(file);
      if (host.isPresent() && ConfigurationFileCheck.isTicket(text)) {
        throw new SettingException("--against", "compares documents; " + file + " is a ticket");
      }
      Optional<Result.Read> inForce = Optional.empty();
      try {
        inForce = host.isPresent() ? Optional.of(readInForce(check, host.get())) : inForce;
      } catch (UnreadableFileException e) {
        silent = Optional.of(e);
      }
      report = check.check(text, inForce, Instant.now());
    } catch (UnreadableFileException e) {
      return unreadable(file, e);
    }
    System.out.print(
        json
            ? CheckOutput.json(file, report) + System.lineSeparator()
            : CheckOutput.text(file, report));
    if (silent.isPresent()) {
      return unreadable(against, silent.get());
    }
    return report.fails() ? FAILED : OK;
  }

  private static int unreadable(String what, UnreadableFileException why) {
    System.err.println("cuminwell: " + what + ": " + why.getMessage());
    return USAGE;
  }

  private static byte[] read(String file) throws UnreadableFileException {
    try {
      return Files.readAllBytes(Path.of(file));
    } catch (NoSuchFileException e) {
      throw new UnreadableFileException("there is no such file");
    } catch (AccessDeniedException e) {
      throw new UnreadableFileException("reading the file is not permitted");
    } catch (IOException | InvalidPathException e) {
      throw new UnreadableFileException("can't be read: " + e.getMessage());
    }
  }

  private static Result.Read readInForce(ConfigurationFileCheck check, HostAddress host)
      throws UnreadableFileException, InterruptedException {
    URI uri = URI.create("http://" + host + ConfigurationDocuments.READ_PATH);
    HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    try {
      HttpResponse<byte[]> answer =
          client
              .sendAsync(
                  HttpRequest.newBuilder(uri).GET().build(),
                  HttpResponse.BodyHandlers.ofByteArray())
              .get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      return switch (check.readInForce(answer.statusCode(), answer.body())) {
        case Result.Read r -> r;
        case Result.Refused r -> throw new UnreadableFileException(r.errors().getFirst().message());
        case Result.Unreadable r -> throw new UnreadableFileException(r.message());
      };
    } catch (TimeoutException e) {
      throw new UnreadableFileException("does not answer within " + TIMEOUT.toSeconds() + " s");
    } catch (ExecutionException e) {
      throw new UnreadableFileException(
          e.getCause() instanceof ConnectException
              ? "can't be reached"
              : "does not answer: " + e.getCause());
    } finally {
      // Closing would wait for the answer that did not come.
      client.shutdownNow();
    }
  }
}
