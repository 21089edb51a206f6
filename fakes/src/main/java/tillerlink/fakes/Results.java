package tillerlink.fakes;

import java.nio.charset.StandardCharsets;

/**
 * The result of a request, made of its id alone: whoever knows the id can tell whether all of it
 * came.
 */
public final class Results {
  private static final int PAGES_MOST = 3;
  private static final int ROWS = 2;

  private Results() {}

  public static int pages(String id) {
    return 1 + Math.floorMod(id.hashCode(), PAGES_MOST);
  }

  public static byte[] page(String id, int page) {
    StringBuilder rows = new StringBuilder();
    for (int row = 0; row < ROWS; row++) {
      rows.append(id).append('\t').append(page).append('\t').append(row).append('\n');
    }
    return rows.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** What a client must have been given. */
  public static String whole(String id) {
    StringBuilder rows = new StringBuilder("{\"records\":[");
    for (int page = 0; page < pages(id); page++) {
      for (int row = 0; row < ROWS; row++) {
        rows.append(page + row == 0 ? "[\"" : ",[\"")
            .append(id)
            .append("\",\"")
            .append(page)
            .append("\",\"")
            .append(row)
            .append("\"]");
      }
    }
    return rows.append("]}").toString();
  }
}
