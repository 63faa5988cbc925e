package org.cuminwell.soak;

import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Fills in the settings templates of the deploy file: placeholders, and sections for lists, tables
 * and values that are present. Stateless and thread safe.
 */
final class SettingsTemplate {

  private static final Pattern TAG = Pattern.compile("\\{\\{([#/]?)([^}]+)}}");

  private SettingsTemplate() {}

  /** Returns the template with the fields filled in; a name that has none leaves nothing. */
  static String render(String template, Map<String, ?> fields) {
    return render(template, fields, "", "");
  }

  private static String render(String text, Map<String, ?> fields, Object entry, Object key) {
    StringBuilder out = new StringBuilder();
    Matcher tag = TAG.matcher(text);
    int from = 0;
    while (tag.find(from)) {
      out.append(text, from, tag.start());
      String name = tag.group(2);
      if (tag.group(1).equals("#")) {
        String end = "{{/" + name + "}}";
        int close = text.indexOf(end, tag.end());
        renderSection(out, text.substring(tag.end(), close), fields, find(fields, name));
        from = close + end.length();
      } else {
        @Nullable Object value =
            name.equals(".") ? entry : name.equals("@") ? key : find(fields, name);
        out.append(value == null ? "" : value);
        from = tag.end();
      }
    }
    return out.append(text.substring(from)).toString();
  }

  private static void renderSection(
      StringBuilder out, String body, Map<String, ?> fields, @Nullable Object value) {
    if (value instanceof List<?> list) {
      list.forEach(entry -> out.append(render(body, fields, entry, "")));
    } else if (value instanceof Map<?, ?> table) {
      table.forEach((key, entry) -> out.append(render(body, fields, entry, key)));
    } else if (value != null && !Boolean.FALSE.equals(value)) {
      out.append(render(body, fields, value, ""));
    }
  }

  private static @Nullable Object find(Map<String, ?> fields, String path) {
    @Nullable Object value = fields;
    for (String part : path.split("\\.", -1)) {
      if (value instanceof Map<?, ?> table) {
        value = table.get(part);
      } else if (value instanceof List<?> list) {
        value = list.get(Integer.parseInt(part));
      } else {
        return null;
      }
    }
    return value;
  }
}
