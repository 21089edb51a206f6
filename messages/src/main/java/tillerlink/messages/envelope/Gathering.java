package tillerlink.messages.envelope;

/** The pieces of one message that have come. */
final class Gathering {
  private final byte[][] bodies;
  private final int part;
  final long since;
  private int missing;
  private int bytes;

  Gathering(Envelope first, long now) {
    bodies = new byte[first.pieces()][];
    part = first.part();
    missing = first.pieces();
    since = now;
  }

  boolean fits(Envelope e) {
    return e.pieces() == bodies.length && e.part() == part && bodies[e.piece()] == null;
  }

  void take(Envelope e) {
    bodies[e.piece()] = e.body();
    bytes += e.body().length;
    missing--;
  }

  boolean isWhole() {
    return missing == 0;
  }

  int bytes() {
    return bytes;
  }

  byte[] whole() {
    byte[] all = new byte[bytes];
    int at = 0;
    for (byte[] body : bodies) {
      System.arraycopy(body, 0, all, at, body.length);
      at += body.length;
    }
    return all;
  }
}
