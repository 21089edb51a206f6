package tillerlink.net.wire;

/** An answer to a client's request. It is encoded piece by piece while it is sent. */
public interface ClientAnswer {
  /** Returns a copy of this answer after which the connection is closed. */
  ClientAnswer closingConnection();

  /** Returns a writer that encodes this answer from its first byte. */
  ResponseWriter writer();

  /** Returns the number of bytes of memory that the content of this answer takes. */
  int retainedBytes();
}
