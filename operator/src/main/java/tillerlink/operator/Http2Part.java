package tillerlink.operator;

import java.util.LinkedHashSet;
import java.util.Set;
import tillerlink.net.http2.Http2TransportFactory;

/** Reader of the block {@code http2}: which engines are reached over HTTP/2. */
final class Http2Part {
  private Http2Part() {}

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static Http2TransportFactory read(Section section) {
    if (section == null) {
      return null;
    }
    Http2TransportFactory transports =
        new Http2TransportFactory(
            section.flag("all", false),
            Set.copyOf(new LinkedHashSet<>(section.strings("kinds", false))),
            (int) section.integer("streams_most", 1, 100_000, 0));
    if (!transports.all() && transports.kinds().isEmpty()) {
      section.error("http2 requires 'kinds' or 'all = true'");
    }
    section.reportUnknown();
    return transports;
  }
}
