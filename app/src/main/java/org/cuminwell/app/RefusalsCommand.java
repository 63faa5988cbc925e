package org.cuminwell.app;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Prints why requests were refused in the last minute, by data centre, over all gateways. */
@Parameters(commandDescription = "Print why requests were refused in the last minute")
final class RefusalsCommand implements Command {

  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @ParametersDelegate private final OperatorFlags operators = new OperatorFlags();

  /** Holds what one gateway answered, if it did. Immutable. */
  private record Answer(String host, String dataCentre, Optional<String> metrics) {}

  @Override
  public int run() throws SettingException, InterruptedException {
    Optional<String> status = operators.client().read("/v1/status");
    if (status.isEmpty()) {
      return FAILED;
    }
    List<CompletableFuture<Answer>> answers = new ArrayList<>();
    try (HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()) {
      for (JsonNode gateway : new ObjectMapper().readTree(status.get()).path("gateways")) {
        answers.add(ask(client, gateway));
      }
      return print(answers);
    } catch (JsonProcessingException e) {
      System.err.println("the status of the control host is no JSON: " + e.getMessage());
      return FAILED;
    }
  }

  private static CompletableFuture<Answer> ask(HttpClient client, JsonNode gateway) {
    String host = gateway.path("host").asText();
    String dataCentre = gateway.path("data_centre").asText();
    URI metrics = URI.create("http://" + gateway.path("inner").asText() + "/metrics");
    return client
        .sendAsync(
            HttpRequest.newBuilder(metrics).timeout(TIMEOUT).build(),
            HttpResponse.BodyHandlers.ofString())
        .thenApply(response -> new Answer(host, dataCentre, Optional.of(response.body())))
        .exceptionally(_ -> new Answer(host, dataCentre, Optional.empty()));
  }

  private static int print(List<CompletableFuture<Answer>> answers) {
    RefusalTable table = new RefusalTable();
    int silent = 0;
    for (CompletableFuture<Answer> pending : answers) {
      Answer answer = pending.join();
      answer.metrics().ifPresent(metrics -> table.add(answer.dataCentre(), metrics));
      if (answer.metrics().isEmpty()) {
        silent++;
        System.err.println(answer.host() + " in " + answer.dataCentre() + " does not answer");
      }
    }
    System.out.print(table.text());
    return silent == 0 ? OK : FAILED;
  }
}
