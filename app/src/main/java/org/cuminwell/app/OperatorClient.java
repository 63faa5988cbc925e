package org.cuminwell.app;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/**
 * Asks control hosts over the same interface that the screens use.
 *
 * <p>Hosts are tried in order until one answers. Thread safe.
 */
final class OperatorClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private final List<String> hosts;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build();

  OperatorClient(List<String> hosts) {
    this.hosts = List.copyOf(hosts);
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
        HttpRequest request = HttpRequest.newBuilder(uri(host, path)).GET().build();
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
                request.copy().uri(uri(host, path)).timeout(TIMEOUT).build(),
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

  private static URI uri(String host, String path) {
    return URI.create("http://" + host + path);
  }
}
