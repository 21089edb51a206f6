package tillerlink.fakes;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The results of fake engines. A result is derived from the request's id alone, so that a client
 * can verify that the result it received is complete.
 */
public final class Results {
  private static final int MAX_PAGES = 3;
  private static final int ROWS_PER_PAGE = 2;

  private Results() {}

  /** Returns the number of pages of a request's result, from 1 to 3. */
  public static int pages(String id) {
    return 1 + Math.floorMod(id.hashCode(), MAX_PAGES);
  }

  /**
   * Returns one page in the form in which an engine sends it, as tab-separated rows.
   *
   * @param page the page's number, from 0
   */
  public static byte[] page(String id, int page) {
    StringBuilder rows = new StringBuilder();
    for (int row = 0; row < ROWS_PER_PAGE; row++) {
      rows.append(id).append('\t').append(page).append('\t').append(row).append('\n');
    }
    return rows.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns all pages of a result, concatenated. */
  static byte[] allPages(String id) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int page = 0; page < pages(id); page++) {
      all.writeBytes(page(id, page));
    }
    return all.toByteArray();
  }

  /** Returns the JSON body that a client must receive for a request. */
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
