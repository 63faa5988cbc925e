package org.cuminwell.app;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

/**
 * Asks control hosts over the same interface that the screens use.
 *
 * <p>Hosts are tried in order until one answers. Thread safe.
 */
final class OperatorClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private final List<String> hosts;
  private final Optional<String> credentials;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

  /**
   * Makes a client.
   *
   * @param credentials name and token, joined by a colon
   */
  OperatorClient(List<String> hosts, Optional<String> credentials) {
    this.hosts = List.copyOf(hosts);
    this.credentials = credentials;
  }

  /** Returns the answer to a GET; empty if no control host gives one. */
  Optional<String> read(String path) throws InterruptedException {
    for (String host : hosts) {
      try {
        HttpResponse<String> answer =
            client.send(
                proven(HttpRequest.newBuilder(uri(host, path))).timeout(TIMEOUT).GET().build(),
                HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() < 400) {
          return Optional.of(answer.body());
        }
        System.err.println(host + " answers " + answer.statusCode() + ": " + answer.body());
      } catch (IOException e) {
        System.err.println(host + " does not answer: " + e);
      }
    }
    return Optional.empty();
  }

  /** Prints the answer to a GET, and returns the exit code. */
  int get(String path) throws InterruptedException {
    return print(path, HttpRequest.newBuilder().GET());
  }

  /** Prints the answer to a PUT, and returns the exit code. */
  int put(String path, byte[] body) throws InterruptedException {
    return print(path, HttpRequest.newBuilder().PUT(HttpRequest.BodyPublishers.ofByteArray(body)));
  }

  /** Prints each event of a stream until it ends, and returns the exit code. */
  int follow(String path) throws InterruptedException {
    for (String host : hosts) {
      try {
        HttpRequest request = proven(HttpRequest.newBuilder(uri(host, path))).GET().build();
        client
            .send(request, HttpResponse.BodyHandlers.ofLines())
            .body()
            .filter(line -> line.startsWith("data:"))
            .forEach(line -> System.out.println(line.substring("data:".length()).strip()));
        return Command.OK;
      } catch (IOException e) {
        System.err.println(host + " does not answer: " + e);
      }
    }
    return Command.FAILED;
  }

  private int print(String path, HttpRequest.Builder request) throws InterruptedException {
    for (String host : hosts) {
      try {
        HttpResponse<String> answer =
            client.send(
                proven(request.copy()).uri(uri(host, path)).timeout(TIMEOUT).build(),
                HttpResponse.BodyHandlers.ofString());
        System.out.print(answer.body());
        return answer.statusCode() < 400 ? Command.OK : Command.FAILED;
      } catch (IOException e) {
        System.err.println(host + " does not answer: " + e);
      }
    }
    System.err.println("no control host answers; the fate of the request is unknown");
    return Command.FAILED;
  }

  private HttpRequest.Builder proven(HttpRequest.Builder request) {
    credentials
        .map(text -> Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)))
        .ifPresent(encoded -> request.header("Authorization", "Basic " + encoded));
    return request;
  }

  private static URI uri(String host, String path) {
    return URI.create("http://" + host + path);
  }
}
