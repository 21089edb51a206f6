package tillerlink.jmh;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tillerlink.messages.envelope.EnvelopeCodec;
import tillerlink.messages.envelope.Inbox;
import tillerlink.messages.envelope.Outbox;
import tillerlink.messages.envelope.Seal;

/**
 * Measures the cost of a message between gateways: encoding it as datagrams, or encoding and
 * decoding it, with a seal and without.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class Envelopes {
  /** The length of a message's body in bytes. */
  @Param({"100", "1100", "12000"})
  private int bytes;

  /** Whether datagrams are sealed. */
  @Param({"false", "true"})
  private boolean sealed;

  private Outbox outbox;
  private Inbox inbox;
  private byte[] body;

  /** Creates an outbox and an inbox of two gateways. */
  @Setup
  public void setUp() {
    body = new byte[bytes];
    outbox = new Outbox(newCodec(), "north-1", 7);
    inbox = new Inbox(newCodec(), "south-1", 8, bytes, line -> {});
  }

  private EnvelopeCodec newCodec() {
    byte[] secret = "a secret of a fleet".getBytes(StandardCharsets.UTF_8);
    return new EnvelopeCodec("newsroom", sealed ? Seal.of(secret) : null);
  }

  @Benchmark
  public List<byte[]> written() {
    return outbox.datagrams(1, body);
  }

  /** Encodes a message as datagrams and decodes it from them. */
  @Benchmark
  public Inbox.Message writtenAndRead() {
    Inbox.Message message = null;
    for (byte[] datagram : outbox.datagrams(1, body)) {
      message = inbox.take(0, "", datagram);
    }
    return message;
  }
}
