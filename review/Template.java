import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Fills in the settings templates of the deploy file, as far as these templates need it. */
final class Template {

  private Template() {}

  static String render(String text, Map<String, Object> fields) {
    StringBuilder out = new StringBuilder();
    int at = 0;
    while (true) {
      int open = text.indexOf("{{", at);
      if (open < 0) {
        return out.append(text, at, text.length()).toString();
      }
      out.append(text, at, open);
      int close = text.indexOf("}}", open);
      String name = text.substring(open + 2, close);
      at = close + 2;
      if (!name.startsWith("#")) {
        out.append(plain(find(fields, name)));
        continue;
      }
      String end = "{{/" + name.substring(1) + "}}";
      int endAt = text.indexOf(end, at);
      section(text.substring(at, endAt), find(fields, name.substring(1)), fields, out);
      at = endAt + end.length();
    }
  }

  private static void section(
      String body, Object value, Map<String, Object> fields, StringBuilder out) {
    if (value instanceof List<?> list) {
      list.forEach(entry -> out.append(entry(body, entry, "")));
    } else if (value instanceof Map<?, ?> map) {
      map.forEach((key, entry) -> out.append(entry(body, entry, key.toString())));
    } else if (value != null && !value.equals(false)) {
      out.append(entry(body, value, ""));
    }
  }

  private static String entry(String body, Object entry, String key) {
    return body.replace("{{.}}", plain(entry)).replace("{{@}}", key);
  }

  private static Object find(Map<String, Object> fields, String path) {
    Object value = fields;
    for (String part : path.split("\\.")) {
      if (value instanceof Map<?, ?> map) {
        value = map.get(part);
      } else if (value instanceof List<?> list) {
        value = list.get(Integer.parseInt(part));
      }
    }
    return value;
  }

  private static String plain(Object value) {
    if (value instanceof List<?> list) {
      return list.stream().map(Template::plain).collect(Collectors.joining(","));
    }
    return value == null ? "" : value.toString();
  }
}
