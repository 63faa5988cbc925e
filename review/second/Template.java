import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills in a settings template with fields, as the deploy page describes it. Stateless. */
final class Template {

  private static final Pattern TAG = Pattern.compile("\\{\\{([#/]?)([^}]+)}}");

  private Template() {}

  static String render(String template, Map<String, Object> fields) {
    return render(template, fields, null, null);
  }

  private static String render(String text, Map<String, Object> fields, Object item, Object key) {
    StringBuilder out = new StringBuilder();
    Matcher tag = TAG.matcher(text);
    int from = 0;
    while (tag.find(from)) {
      out.append(text, from, tag.start());
      String name = tag.group(2);
      if (tag.group(1).equals("#")) {
        String end = "{{/" + name + "}}";
        int close = text.indexOf(end, tag.end());
        section(out, text.substring(tag.end(), close), fields, find(fields, name));
        from = close + end.length();
      } else {
        Object value = name.equals(".") ? item : name.equals("@") ? key : find(fields, name);
        out.append(value == null ? "" : value);
        from = tag.end();
      }
    }
    return out.append(text.substring(from)).toString();
  }

  private static void section(
      StringBuilder out, String body, Map<String, Object> fields, Object value) {
    if (value instanceof List<?> list) {
      for (int i = 0; i < list.size(); i++) {
        out.append(render(body, fields, list.get(i), i));
      }
    } else if (value instanceof Map<?, ?> map) {
      map.forEach((key, entry) -> out.append(render(body, fields, entry, key)));
    } else if (value != null && !Boolean.FALSE.equals(value)) {
      out.append(render(body, fields, value, null));
    }
  }

  private static Object find(Map<String, Object> fields, String path) {
    Object value = fields;
    for (String part : path.split("\\.")) {
      value =
          value instanceof Map<?, ?> map
              ? map.get(part)
              : value instanceof List<?> list ? list.get(Integer.parseInt(part)) : null;
    }
    return value;
  }
}
