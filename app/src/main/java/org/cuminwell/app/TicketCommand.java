package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Submits and shows tickets. */
@Parameters(
    commandDescription = "Submit or show tickets: submit NUMBER -f FILE | show NUMBER | list")
final class TicketCommand implements Command {

  @Parameter(description = "submit NUMBER | show NUMBER | list")
  private List<String> words = new ArrayList<>();

  @Parameter(names = "-f", description = "file with the ticket as JSON")
  private String file = "";

  @ParametersDelegate private final OperatorFlags operators = new OperatorFlags();

  @Override
  public int run() throws SettingException, InterruptedException {
    String verb = words.isEmpty() ? "" : words.getFirst();
    OperatorClient client = operators.client();
    return switch (verb) {
      case "submit" -> client.put("/v1/tickets/" + number(), content());
      case "show" -> client.get("/v1/tickets/" + number());
      case "list" -> client.get("/v1/tickets");
      default -> throw new SettingException("ticket", "use submit NUMBER, show NUMBER or list");
    };
  }

  private String number() throws SettingException {
    if (words.size() != 2) {
      throw new SettingException("ticket " + words.getFirst(), "give one ticket number");
    }
    return words.get(1);
  }

  private byte[] content() throws SettingException {
    if (file.isEmpty()) {
      throw new SettingException("-f", "name the file with the ticket");
    }
    try {
      return Files.readAllBytes(Path.of(file));
    } catch (IOException e) {
      throw new SettingException("-f", "can't read " + file + ": " + e);
    }
  }
}
