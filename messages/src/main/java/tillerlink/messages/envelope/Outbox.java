package tillerlink.messages.envelope;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Makes datagrams of what one process says. Used by one thread. */
public final class Outbox {
  private final EnvelopeCodec codec;
  private final String name;
  private final long life;
  private long counter;

  /**
   * @param life drawn anew by each process; not 0
   */
  public Outbox(EnvelopeCodec codec, String name, long life) {
    this.codec = codec;
    this.name = name;
    this.life = life;
  }

  /**
   * @param part 1 to 255
   * @return none if the message is too long to be sent at all
   */
  public List<byte[]> datagrams(int part, byte[] message) {
    int pieces = Math.max(1, (message.length + Envelope.BODY_MOST - 1) / Envelope.BODY_MOST);
    if (pieces > Envelope.PIECES_MOST) {
      return List.of();
    }
    List<byte[]> datagrams = new ArrayList<>(pieces);
    long first = counter + 1;
    for (int piece = 0; piece < pieces; piece++) {
      byte[] body =
          pieces == 1
              ? message
              : Arrays.copyOfRange(
                  message,
                  piece * Envelope.BODY_MOST,
                  Math.min(message.length, (piece + 1) * Envelope.BODY_MOST));
      datagrams.add(
          codec.encode(
              new Envelope(
                  Envelope.VERSION,
                  codec.fleet(),
                  name,
                  life,
                  part,
                  ++counter,
                  first,
                  piece,
                  pieces,
                  body)));
    }
    return datagrams;
  }
}
