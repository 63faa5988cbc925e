/** Writes configurations like those of the platform's operator. */
final class Config {

  static final String HOST = "ficu95.example";
  static final String KEY = "i9n73hh2b9wu3fexd9dn";

  private Config() {}

  /**
   * Returns a configuration with an unsafe and a resumable route, {@code idle} routes beside them,
   * and one customer.
   */
  static String text(int version, int idle) {
    StringBuilder routes = new StringBuilder();
    route(routes, "r-sack", "/pule252/", "unsafe", 5000, 321, 2);
    // Like the resumable kind of request of the site.
    routes.append(",{\"name\":\"r-draft\",\"host\":\"").append(HOST)
        .append("\",\"pathPrefix\":\"/lohu930/\",\"kind\":\"streaming\",\"timeoutMs\":15000,")
        .append("\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"wuno96b\",\"maxAttempts\":2,")
        .append("\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":600,")
        .append("\"homeRegions\":[]}");
    for (int i = 0; i < idle; i++) {
      routes.append(',');
      String name = "r-" + Integer.toString(100_000 + i * 37, 36) + "xq";
      // One route of each version differs, as where a change moves a time-out.
      int timeout = 5000 + (i == version % Math.max(1, idle) ? version : 0);
      route(routes, name, "/" + Integer.toString(900_000 + i * 91, 36) + "/", "safe", timeout, 321, 2);
    }
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
        + "{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\","
        + "\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[\"" + KEY + "\",\"n2ctnfzs989anu6wsjnb\"],"
        + "\"priority\":1,\"unit\":\"token\",\"plainTokens\":200,\"ratePerS\":371333,"
        + "\"burst\":371333,\"homeRegions\":[]}]}";
  }

  private static void route(
      StringBuilder to, String name, String prefix, String kind, int timeout, int target, int rank) {
    to.append("{\"name\":\"").append(name).append("\",\"host\":\"").append(HOST)
        .append("\",\"pathPrefix\":\"").append(prefix).append("\",\"kind\":\"").append(kind)
        .append("\",\"timeoutMs\":").append(timeout).append(",\"targetLatencyMs\":").append(target)
        .append(",\"priority\":").append(rank).append(",\"service\":\"wuno96b\",\"maxAttempts\":2,")
        .append("\"anonymous\":false,\"sticky\":false,\"resumable\":false,\"homeRegions\":[]}");
  }
}
