package tillerlink.messages.envelope;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import tillerlink.messages.FieldWriter;

/** Datagrams between gateways: what is read again, and what costs no more than a counter. */
class EnvelopeTest {
  private static final String FLEET = "newsroom";
  private static final byte[] SECRET = "a secret of a fleet".getBytes(StandardCharsets.UTF_8);
  private static final int MOST = 12_000;

  private final List<String> lines = new ArrayList<>();

  private static EnvelopeCodec codec(boolean sealed) {
    return new EnvelopeCodec(FLEET, sealed ? Seal.of(SECRET) : null);
  }

  private static Outbox outbox(boolean sealed) {
    return new Outbox(codec(sealed), "n1", 7);
  }

  private Inbox inbox(boolean sealed) {
    return new Inbox(codec(sealed), "n2", 9, MOST, lines::add);
  }

  private static byte[] bytes(int length, long seed) {
    byte[] bytes = new byte[length];
    new SplittableRandom(seed).nextBytes(bytes);
    return bytes;
  }

  /** Of every length at which something changes, sealed and not, in order and not. */
  @Test
  void messagesOfAllLengths() {
    for (boolean sealed : List.of(false, true)) {
      Outbox outbox = new Outbox(codec(sealed), "n".repeat(Envelope.NAME_MOST), -1);
      Inbox inbox = inbox(sealed);
      for (int length : new int[] {0, 1, 1099, 1100, 1101, 2200, 2201, 11_999, MOST}) {
        List<byte[]> datagrams = new ArrayList<>(outbox.datagrams(3, bytes(length, length)));
        Collections.shuffle(datagrams, new java.util.Random(length));
        Inbox.Message message = null;
        for (byte[] datagram : datagrams) {
          assertTrue(
              datagram.length <= Envelope.DATAGRAM_MOST, "of " + length + ": " + datagram.length);
          assertNull(message);
          message = inbox.take(0, "a", datagram);
        }
        assertArrayEquals(bytes(length, length), message.body());
        assertEquals("n".repeat(Envelope.NAME_MOST) + 3, message.sender() + message.part());
      }
      assertEquals(
          List.of(), outbox.datagrams(1, bytes(Envelope.BODY_MOST * Envelope.PIECES_MOST + 1, 1)));
      assertEquals(Map.of(), inbox.refused());
    }
  }

  /**
   * One that is cut off anywhere, or in which any byte is another, is never taken for what it was.
   */
  @Test
  void everyTruncationAndEveryFlippedByte() {
    byte[] whole = outbox(true).datagrams(1, "hello".getBytes(StandardCharsets.UTF_8)).get(0);
    for (int length = 0; length < whole.length; length++) {
      assertNull(inbox(true).take(0, "a", Arrays.copyOf(whole, length)));
      byte[] flipped = whole.clone();
      flipped[length] ^= 0x11;
      assertNull(inbox(true).take(0, "a", flipped), "byte " + length);
    }
    byte[] open = outbox(false).datagrams(1, "hello".getBytes(StandardCharsets.UTF_8)).get(0);
    for (int length = 0; length < open.length; length++) {
      Inbox.Message message = inbox(false).take(0, "a", Arrays.copyOf(open, length));
      assertTrue(message == null || message.body().length == 0, "cut off after " + length);
    }
    assertNotNull(inbox(true).take(0, "a", whole));
  }

  /** Nothing that comes makes it throw, or hold more than it may. */
  @Test
  void garbage() {
    SplittableRandom random = new SplittableRandom(11);
    Inbox inbox = inbox(false);
    Outbox outbox = outbox(false);
    for (int i = 0; i < 40_000; i++) {
      byte[] datagram;
      if (i % 4 == 0) {
        datagram = bytes(random.nextInt(1400), i);
      } else {
        List<byte[]> any = outbox.datagrams(1 + random.nextInt(4), bytes(random.nextInt(5000), i));
        datagram = any.get(random.nextInt(any.size()));
        for (int j = random.nextInt(4); j > 0; j--) {
          datagram[random.nextInt(datagram.length)] = (byte) random.nextInt();
        }
      }
      inbox.take(i, "a", datagram);
      assertTrue(inbox.gathering() <= Inbox.GATHERINGS_MOST && inbox.lives() <= Inbox.LIVES_MOST);
    }
    assertTrue(
        inbox
            .refused()
            .keySet()
            .containsAll(
                List.of(
                    Refusal.GARBLED,
                    Refusal.OVERSIZED,
                    Refusal.FOREIGN,
                    Refusal.INCOMPLETE,
                    Refusal.REPEATED)),
        inbox.refused()::toString);
    assertTrue(lines.size() <= Refusal.values().length, lines::toString);
  }

  /** Each reason, once, with the line that it costs. */
  @Test
  void reasons() {
    byte[] body = {1};
    byte[] good = outbox(false).datagrams(1, body).get(0);
    byte[] later = good.clone();
    later[2] = 2;
    Inbox open = inbox(false);
    open.take(0, "a:1", new byte[2000]);
    open.take(0, "a:1", later);
    open.take(
        0,
        "a:1",
        new Outbox(new EnvelopeCodec("another", null), "n1", 7).datagrams(1, body).get(0));
    open.take(0, "a:1", outbox(true).datagrams(1, body).get(0));
    open.take(0, "a:1", new Outbox(codec(false), "n2", 9).datagrams(1, body).get(0));
    assertNotNull(open.take(0, "a:1", good));
    open.take(0, "a:1", good);
    Inbox sealed = inbox(true);
    sealed.take(0, "a:1", good);
    sealed.take(
        0,
        "a:1",
        new Outbox(new EnvelopeCodec(FLEET, Seal.of(new byte[16])), "n1", 7)
            .datagrams(1, body)
            .get(0));
    sealed.take(99_999, "a:1", good);
    sealed.take(100_000, "a:1", good);
    assertEquals(
        String.join(
            "\n",
            "a datagram from a:1 is longer than any of ours; 1 so far",
            "a datagram from a:1 is of a release that this one can't read; 1 so far",
            "a datagram from a:1 is of another fleet; 1 so far",
            "a datagram from a:1 bears a seal that is not the fleet's; 1 so far",
            "a datagram from a:1 is of this process itself; 1 so far",
            "a datagram from a:1 came already, or too late to tell; 1 so far",
            "a datagram from a:1 bears no seal; 1 so far",
            "a datagram from a:1 bears a seal that is not the fleet's; 1 so far",
            "a datagram from a:1 bears no seal; 3 so far"),
        String.join("\n", lines));
  }

  /**
   * In any order within the span each comes once; what is older can't be told and does not come.
   */
  @Test
  void repeats() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 50; round++) {
      Window window = new Window();
      boolean[] came = new boolean[20_000];
      long newest = 0;
      for (int i = 0; i < 20_000; i++) {
        int counter = Math.max(1, Math.min(19_999, i + random.nextInt(10) - random.nextInt(6000)));
        boolean told = counter > newest - Window.SPAN && !came[counter];
        assertEquals(told, window.isNew(counter), "counter " + counter + " after " + newest);
        came[counter] |= told;
        newest = Math.max(newest, counter);
      }
    }
    Window far = new Window();
    assertTrue(
        far.isNew(1) && far.isNew(Long.MAX_VALUE) && !far.isNew(Long.MAX_VALUE) && !far.isNew(1));
  }

  /** A lost piece loses its message and nothing else; one sender can't crowd out another. */
  @Test
  void lostPieces() {
    Outbox outbox = outbox(false);
    Inbox inbox = inbox(false);
    List<byte[]> other = new Outbox(codec(false), "n3", 8).datagrams(1, bytes(2000, 1));
    assertNull(inbox.take(0, "a", other.get(0)));
    for (int i = 0; i < 300; i++) {
      inbox.take(i, "a", outbox.datagrams(1, bytes(2000, i)).get(0));
    }
    assertEquals(Inbox.GATHERINGS_EACH + 1, inbox.gathering());
    assertNotNull(inbox.take(300, "a", other.get(1)));
    List<byte[]> late = outbox.datagrams(1, bytes(2000, 1));
    assertNull(inbox.take(400, "a", late.get(0)));
    assertNull(inbox.take(400 + Inbox.GATHER_MOST, "a", late.get(1)));
    assertEquals(1, inbox.gathering());
  }

  /** What release 1 wrote is read by every later one; fields that are not known are passed over. */
  @Test
  void keptDatagrams() throws IOException, RefusedException {
    try (InputStream in = EnvelopeTest.class.getResourceAsStream("/envelope/release-1.txt")) {
      String kept = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      for (String line : kept.lines().filter(line -> !line.startsWith("#")).toList()) {
        String[] words = line.split(" ");
        Envelope e = codec(words[0].equals("sealed")).decode(HexFormat.of().parseHex(words[2]));
        assertEquals(
            words[1],
            e.sender()
                + "/"
                + e.life()
                + "/"
                + e.part()
                + "/"
                + e.counter()
                + "/"
                + e.first()
                + "/"
                + e.piece()
                + "/"
                + e.pieces()
                + "/"
                + new String(e.body(), StandardCharsets.UTF_8));
      }
    }
    byte[] good = outbox(false).datagrams(1, new byte[] {1}).get(0);
    byte[] more = new FieldWriter().text(900, "of a later release").number(901, 5).done();
    byte[] later = Arrays.copyOf(good, good.length + more.length);
    System.arraycopy(more, 0, later, good.length, more.length);
    assertEquals("n1", codec(false).decode(later).sender());
    assertThrows(
        RefusedException.class, () -> codec(false).decode(Arrays.copyOf(later, later.length - 1)));
  }
}
