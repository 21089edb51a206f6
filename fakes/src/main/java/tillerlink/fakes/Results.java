package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The result of a request, derived from its id alone, so that whoever knows the id can verify that
 * the result is complete.
 */
public final class Results {
  private static final int MAX_PAGES = 3;
  private static final int ROWS_PER_PAGE = 2;

  private Results() {}

  /** How many pages the result has. */
  public static int pages(String id) {
    return 1 + Math.floorMod(id.hashCode(), MAX_PAGES);
  }

  /** One page as tab-separated rows, as an engine sends it. */
  public static byte[] page(String id, int page) {
    StringBuilder rows = new StringBuilder();
    for (int row = 0; row < ROWS_PER_PAGE; row++) {
      rows.append(id).append('\t').append(page).append('\t').append(row).append('\n');
    }
    return rows.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** All pages, one after the other. */
  static byte[] allPages(String id) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int page = 0; page < pages(id); page++) {
      all.writeBytes(page(id, page));
    }
    return all.toByteArray();
  }

  /** The body that a client must have received. */
  public static String whole(String id) {
    StringBuilder rows = new StringBuilder("{\"records\":[");
    for (int page = 0; page < pages(id); page++) {
      for (int row = 0; row < ROWS_PER_PAGE; row++) {
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
