package org.cuminwell.shell.gateway;

import org.cuminwell.shell.gateway.FakeEndpoint.Exchange;
import org.cuminwell.shell.gateway.FakeEndpoint.Script;

/** Holds what right and wrong endpoints say. Stateless and thread safe. */
final class Scripts {

  static final String FOREIGN = "foreign";
  static final String DONE = "data: [DONE]\n\n";

  private Scripts() {}

  static String streamHead(String id) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: "
        + id
        + "\r\nConnection: close\r\n\r\n";
  }

  static String chunk(String id, String text) {
    return "data: {\"id\":\""
        + id
        + "\",\"choices\":[{\"delta\":{\"content\":\""
        + text
        + "\"}}]}\n\n";
  }

  static String json(String status, String id, int length, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nContent-Type: application/json\r\nX-Request-Id: "
        + id
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n"
        + body;
  }

  static String json(String status, String id, String body) {
    return json(status, id, body.length(), body);
  }

  static String completion(String id, String text) {
    return "{\"id\":\"" + id + "\",\"choices\":[{\"message\":{\"content\":\"" + text + "\"}}]}";
  }

  /** Streams a whole answer. */
  static void streamWhole(Exchange x) throws java.io.IOException {
    x.write(streamHead(x.id) + chunk(x.id, "a") + chunk(x.id, "b") + DONE);
  }

  /** Sends a whole answer at once. */
  static void wholeJson(Exchange x) throws java.io.IOException {
    x.write(json("200 OK", x.id, completion(x.id, "ab")));
  }

  /** Streams the text after the right head and a right part. */
  static Script streamThen(String rest) {
    return x -> x.write(streamHead(x.id) + chunk(x.id, "a") + rest.replace("ID", x.id));
  }

  /** Answers with the text. */
  static Script raw(String text) {
    return x -> x.write(text.replace("ID", x.id));
  }

  static void reset(Exchange x) throws java.io.IOException {
    x.reset();
  }

  static void close(Exchange x) {}

  static void silent(Exchange x) throws java.io.IOException {
    x.waitForClose();
  }
}
