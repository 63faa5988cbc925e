import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages over plain sockets. Stateless. */
final class Http {

  private Http() {}

  /** A response that was read whole. */
  static final class Response {
    int status;
    Map<String, String> headers;
    byte[] body;

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** The head of a message. */
  record Head(String first, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** Sends one request over a new connection and reads its response. */
  static Response call(
      String address,
      String method,
      String path,
      String host,
      Map<String, String> headers,
      byte[] body,
      int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(Lab.endpoint(address), Math.min(1_000, timeoutMillis));
      socket.setSoTimeout(timeoutMillis);
      send(socket, method, path, host, headers, body);
      return read(socket.getInputStream());
    }
  }

  static void send(
      Socket socket,
      String method,
      String path,
      String host,
      Map<String, String> headers,
      byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host);
    headers.forEach((name, value) -> head.append("\r\n").append(name).append(": ").append(value));
    head.append("\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
    OutputStream out = socket.getOutputStream();
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  static Head readHead(InputStream in) throws IOException {
    String first = line(in);
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Head(first, headers);
  }

  static Response read(InputStream in) throws IOException {
    Head head = readHead(in);
    Response response = new Response();
    response.status = Integer.parseInt(head.first().split(" ")[1]);
    response.headers = head.headers();
    response.body = readBody(in, head, true);
    return response;
  }

  static byte[] readBody(InputStream in, Head head, boolean isResponse) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
        body.write(exactly(in, size));
        line(in);
        if (size == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.header("Content-Length");
    if (!length.isEmpty()) {
      return exactly(in, Integer.parseInt(length));
    }
    return isResponse ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the message ended early");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException(line.isEmpty() ? "the connection ended" : "a line ended early");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }
}
