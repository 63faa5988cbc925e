package org.cuminwell.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes messages of HTTP/1.1 over plain sockets. Stateless and thread safe. */
final class Http1 {

  private static final int RADIX = 16;
  private static final int CONNECT_MILLIS = 1_000;

  private Http1() {}

  /** Holds the first line and the headers of a message, with header names in lower case. */
  record Head(String firstLine, Map<String, String> headers) {

    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    /** Returns the second word of the first line: a path, or a status. */
    String secondWord() {
      return firstLine.split(" ", -1)[1];
    }

    int status() {
      return Integer.parseInt(secondWord());
    }
  }

  /** Holds a whole response. */
  record Response(Head head, String body) {}

  /** Sends a request over a new connection and reads the whole response. */
  static Response call(String address, String method, String path, String body, Duration timeout)
      throws IOException {
    try (Socket socket = connect(address)) {
      socket.setSoTimeout((int) timeout.toMillis());
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: soak\r\nContent-Type: application/json\r\n";
      write(socket, head + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
      Head response = readHead(socket.getInputStream());
      return new Response(
          response,
          new String(readBody(socket.getInputStream(), response), StandardCharsets.UTF_8));
    }
  }

  static Socket connect(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            InetAddress.ofLiteral(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1))),
        CONNECT_MILLIS);
    socket.setTcpNoDelay(true);
    return socket;
  }

  static void write(Socket socket, String head, byte[] body) throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    message.writeBytes(body);
    OutputStream out = socket.getOutputStream();
    message.writeTo(out);
    out.flush();
  }

  /** Returns the bytes as one chunk of a body. */
  static byte[] chunk(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream chunk = new ByteArrayOutputStream();
    chunk.writeBytes(
        (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    chunk.writeBytes(bytes);
    chunk.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    return chunk.toByteArray();
  }

  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return new Head(first, headers);
  }

  /**
   * Reads a body with a length or in chunks.
   *
   * @throws EOFException if it ends early
   */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (!head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      String length = head.header("content-length");
      return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(readLine(in), RADIX);
      body.writeBytes(readExactly(in, size));
      readLine(in);
      if (size == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the body ended early");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }
}
