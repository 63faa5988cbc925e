package org.cuminwell.shell.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.cuminwell.core.model.KeyHash;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks operator authentication by HTTP Basic, and the errors of the operators file. */
class OperatorAccessTest {

  @TempDir private Path folder;

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource({
    "Basic,  awa:right,      true",
    "basic,  awa:right,      true",
    "Basic,  awa:wrong,      false",
    "Basic,  awa:,           false",
    "Basic,  awa,            false",
    "Basic,  nobody:right,   false",
    "Bearer, awa:right,      false",
    "'',     '',             false",
  })
  void allowsOnlyOperatorsWithTheirToken(String scheme, String credentials, boolean allowed)
      throws IOException {
    OperatorAccess access = access("# operators\nawa " + KeyHash.of("right").hex() + "\n");
    String encoded =
        Base64.getEncoder().encodeToString(credentials.getBytes(StandardCharsets.UTF_8));
    HttpRequest request = HttpRequest.GET("/");
    if (!scheme.isEmpty()) {
      request = request.addHeader(RawHeader.create("Authorization", scheme + " " + encoded));
    }

    assertThat(access.allows(request)).isEqualTo(allowed);
    assertThat(OperatorAccess.unrestricted().allows(request)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"awa, line 1: must be a name", "awa short, line 1: key hash must be 64"})
  void errorNamesInvalidLine(String line, String message) {
    assertThatThrownBy(() -> access(line)).hasMessageContaining(message);
  }

  private OperatorAccess access(String content) throws IOException {
    return OperatorAccess.read(Files.writeString(folder.resolve("operators"), content));
  }
}
