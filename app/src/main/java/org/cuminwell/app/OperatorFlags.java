package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Holds the flags by which operators reach control hosts. Confined to the start-up thread. */
final class OperatorFlags {

  @Parameter(names = "--operators", description = "HOST:PORT of each control host for operators")
  private List<String> operators = new ArrayList<>(List.of("127.0.0.1:8400"));

  @Parameter(names = "--operator", description = "your name, where control hosts ask for one")
  private String operator = "";

  @Parameter(names = "--operator-token-file", description = "file that holds your token")
  private String tokenFile = "";

  /**
   * Returns a client that proves itself as these flags say.
   *
   * @throws SettingException if only one of name and token is given or the file can't be read
   */
  OperatorClient client() throws SettingException {
    if (operator.isEmpty() != tokenFile.isEmpty()) {
      throw new SettingException("--operator", "goes together with --operator-token-file");
    }
    Optional<String> credentials =
        operator.isEmpty() ? Optional.empty() : Optional.of(operator + ":" + token());
    return new OperatorClient(operators, credentials);
  }

  private String token() throws SettingException {
    try {
      return Files.readString(Path.of(tokenFile)).strip();
    } catch (IOException e) {
      throw new SettingException("--operator-token-file", "can't read " + tokenFile + ": " + e);
    }
  }
}
