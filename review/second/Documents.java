/** Holds the configuration documents that the cases send. Stateless. */
final class Documents {

  static final String HOST = "desk.example";
  static final String KEY = "key-of-the-tenant";

  private Documents() {}

  /** Returns a configuration with one unsafe route to one service and one tenant without a quota. */
  static String configuration(int version) {
    return """
        {"version":%d,
         "routes":[{"name":"r-book","host":"%s","pathPrefix":"/book/","kind":"unsafe",
           "timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"desk","maxAttempts":1,
           "anonymous":false,"sticky":false,"resumable":false,"homeRegions":[]}],
         "services":[{"name":"desk","healthPath":"/health","maxConns":620,"protocol":"h1",
           "tls":false,"coldS":0.0,"coldPerS":0.0}],
         "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
           "idleTimeoutMs":15000},
         "tenants":[{"name":"tenant","apiKeys":["%s"],"priority":1,"unit":"token",
           "plainTokens":200,"ratePerS":0,"burst":0,"homeRegions":[]}]}"""
        .formatted(version, HOST, KEY);
  }
}
