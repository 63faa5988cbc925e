package org.cuminwell.shell.exchange;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;

/** Holds a whole response. Thread safe, as nobody changes the body. */
@SuppressWarnings("ArrayRecordComponent") // Never compared.
public record ResponseMessage(int status, HeaderList headers, byte[] body) {

  private static final String CONTENT_TYPE = "Content-Type";

  /** Returns a response without headers and body. */
  public static ResponseMessage empty(int status) {
    return new ResponseMessage(status, HeaderList.of(), new byte[0]);
  }

  /** Returns a response with a plain text body. */
  public static ResponseMessage text(int status, String text) {
    return new ResponseMessage(
        status,
        HeaderList.of(CONTENT_TYPE, "text/plain; charset=UTF-8"),
        text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a response with a JSON body and a final newline. */
  public static ResponseMessage json(int status, JsonNode body) {
    return new ResponseMessage(
        status,
        HeaderList.of(CONTENT_TYPE, "application/json"),
        (body + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the same response with one more header. */
  public ResponseMessage withHeader(String name, String value) {
    return new ResponseMessage(status, headers.with(name, value), body);
  }
}
