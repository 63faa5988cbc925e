import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client and the reading that the stand-in servers share. */
final class Http {

  private Http() {}

  /** A request or response that was read whole; the first line is split at spaces. */
  record Message(String[] start, Map<String, String> headers, byte[] body) {
    int status() {
      return Integer.parseInt(start[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Sends one request on a connection of its own and closes that if no answer comes in time. */
  static Message call(
      String address, String method, String path, Map<String, String> headers, byte[] body, int ms)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(parse(address), Math.min(ms, 1000));
      socket.setSoTimeout(ms);
      socket.setTcpNoDelay(true);
      write(socket.getOutputStream(), method, path, headers, body);
      return read(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static void write(
      OutputStream out, String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    if (!headers.containsKey("Host")) {
      head.append("Host: platform\r\n");
    }
    if (!method.equals("GET")) {
      head.append("Content-Length: " + body.length + "\r\n");
    }
    byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[bytes.length + body.length];
    System.arraycopy(bytes, 0, all, 0, bytes.length);
    System.arraycopy(body, 0, all, bytes.length, body.length);
    out.write(all);
    out.flush();
  }

  /** Reads a message whole; returns null if the connection ended before it began. */
  static Message read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Message(first.split(" ", 3), headers, body(in, first, headers));
  }

  private static byte[] body(InputStream in, String first, Map<String, String> headers)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        int length = Integer.parseInt(required(in).strip(), 16);
        all.write(exactly(in, length));
        required(in);
        if (length == 0) {
          return all.toByteArray();
        }
      }
    }
    if (headers.containsKey("content-length")) {
      return exactly(in, Integer.parseInt(headers.get("content-length")));
    }
    return first.startsWith("HTTP/") ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the body was cut off");
    }
    return bytes;
  }

  private static String required(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      throw new EOFException("the body was cut off");
    }
    return line;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
    if (line.size() > 0) {
      throw new EOFException("the head was cut off");
    }
    return null;
  }

  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
