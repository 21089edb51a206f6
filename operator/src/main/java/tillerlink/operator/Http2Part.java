package tillerlink.operator;

import java.util.LinkedHashSet;
import java.util.Set;
import tillerlink.net.http2.Http2TransportFactory;

/** The block <code>http2</code>. */
final class Http2Part {
  private Http2Part() {}

  /** The engines that are reached over HTTP/2. */
  static Http2TransportFactory read(Section section) {
    if (section == null) {
      return null;
    }
    Http2TransportFactory transports =
        new Http2TransportFactory(
            section.flag("all", false),
            Set.copyOf(new LinkedHashSet<>(section.texts("kinds", false))),
            (int) section.whole("streams_most", 1, 100_000, 0));
    if (!transports.all() && transports.kinds().isEmpty()) {
      section.fault("http2 wants kinds, or all = true");
    }
    section.close();
    return transports;
  }
}
