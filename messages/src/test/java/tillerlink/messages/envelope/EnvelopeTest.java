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

/** Which datagrams between gateways are read again, and which are only counted and logged. */
class EnvelopeTest {
  private static final String FLEET = "newsroom";
  private static final byte[] SECRET = "a secret of a fleet".getBytes(StandardCharsets.UTF_8);
  private static final int MAX_MESSAGE_BYTES = 12_000;

  private final List<String> lines = new ArrayList<>();

  private static EnvelopeCodec codec(boolean sealed) {
    return new EnvelopeCodec(FLEET, sealed ? Seal.of(SECRET) : null);
  }

  private static Outbox outbox(boolean sealed) {
    return new Outbox(codec(sealed), "n1", 7);
  }

  private Inbox inbox(boolean sealed) {
    return new Inbox(codec(sealed), "n2", 9, MAX_MESSAGE_BYTES, lines::add);
  }

  private static byte[] bytes(int length, long seed) {
    byte[] bytes = new byte[length];
    new SplittableRandom(seed).nextBytes(bytes);
    return bytes;
  }

  /** Of every length at which the fragments change, sealed and not, in order and not. */
  @Test
  void messagesOfEveryLengthArriveComplete() {
    for (boolean sealed : List.of(false, true)) {
      Outbox outbox = new Outbox(codec(sealed), "n".repeat(Envelope.MAX_NAME_BYTES), -1);
      Inbox inbox = inbox(sealed);
      for (int length : new int[] {0, 1, 1099, 1100, 1101, 2200, 2201, 11_999, MAX_MESSAGE_BYTES}) {
        List<byte[]> datagrams = new ArrayList<>(outbox.datagrams(3, bytes(length, length)));
        Collections.shuffle(datagrams, new java.util.Random(length));
        Inbox.Message message = null;
        for (byte[] datagram : datagrams) {
          assertTrue(
              datagram.length <= Envelope.MAX_DATAGRAM_BYTES,
              "of " + length + ": " + datagram.length);
          assertNull(message);
          message = inbox.take(0, "a", datagram);
        }
        assertArrayEquals(bytes(length, length), message.body());
        assertEquals("n".repeat(Envelope.MAX_NAME_BYTES) + 3, message.sender() + message.part());
      }
      assertEquals(
          List.of(),
          outbox.datagrams(1, bytes(Envelope.MAX_BODY_BYTES * Envelope.MAX_PIECES + 1, 1)));
      assertEquals(Map.of(), inbox.refused());
    }
  }

  /** A truncated datagram, or one with any byte changed, is never taken for the original. */
  @Test
  void truncatedAndCorruptedDatagramsAreNeverAccepted() {
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

  /** No datagram makes the inbox throw, or hold more than its bounds allow. */
  @Test
  void garbageNeitherThrowsNorExceedsTheBounds() {
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
      assertTrue(
          inbox.incomplete() <= Inbox.MAX_INCOMPLETE && inbox.processes() <= Inbox.MAX_PROCESSES);
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

  /** Every refusal is logged with its reason, a second one of a kind after ten seconds. */
  @Test
  void everyRefusalIsLoggedWithItsReason() {
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
        """
        a datagram from a:1 is longer than any of ours; 1 so far
        a datagram from a:1 is of a release that this one can't read; 1 so far
        a datagram from a:1 is of another fleet; 1 so far
        a datagram from a:1 bears a seal that is not the fleet's; 1 so far
        a datagram from a:1 is of this process itself; 1 so far
        a datagram from a:1 came already, or too late to tell; 1 so far
        a datagram from a:1 bears no seal; 1 so far
        a datagram from a:1 bears a seal that is not the fleet's; 1 so far
        a datagram from a:1 bears no seal; 3 so far\
        """,
        String.join("\n", lines));
  }

  /** In any order, each counter within the window is new once; older ones never are. */
  @Test
  void everyCounterIsNewOnceWithinTheWindow() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 50; round++) {
      ReplayWindow window = new ReplayWindow();
      boolean[] came = new boolean[20_000];
      long newest = 0;
      for (int i = 0; i < 20_000; i++) {
        int counter = Math.max(1, Math.min(19_999, i + random.nextInt(10) - random.nextInt(6000)));
        boolean isNew = counter > newest - ReplayWindow.SPAN && !came[counter];
        assertEquals(isNew, window.isNew(counter), "counter " + counter + " after " + newest);
        came[counter] |= isNew;
        newest = Math.max(newest, counter);
      }
    }
    ReplayWindow far = new ReplayWindow();
    assertTrue(
        far.isNew(1) && far.isNew(Long.MAX_VALUE) && !far.isNew(Long.MAX_VALUE) && !far.isNew(1));
  }

  /** A lost fragment loses its message and no other; one sender can't crowd out another. */
  @Test
  void aLostFragmentCostsOnlyItsOwnMessage() {
    Outbox outbox = outbox(false);
    Inbox inbox = inbox(false);
    List<byte[]> other = new Outbox(codec(false), "n3", 8).datagrams(1, bytes(2000, 1));
    assertNull(inbox.take(0, "a", other.get(0)));
    for (int i = 0; i < 300; i++) {
      inbox.take(i, "a", outbox.datagrams(1, bytes(2000, i)).get(0));
    }
    assertEquals(Inbox.MAX_INCOMPLETE_PER_PROCESS + 1, inbox.incomplete());
    assertNotNull(inbox.take(300, "a", other.get(1)));
    List<byte[]> late = outbox.datagrams(1, bytes(2000, 1));
    assertNull(inbox.take(400, "a", late.get(0)));
    assertNull(inbox.take(400 + Inbox.REASSEMBLY_TIMEOUT, "a", late.get(1)));
    assertEquals(1, inbox.incomplete());
  }

  /** Datagrams of release 1 are read by every later one; unknown fields are skipped. */
  @Test
  void datagramsOfTheFirstReleaseAreStillRead() throws IOException, RefusedException {
    try (InputStream in = EnvelopeTest.class.getResourceAsStream("/envelope/release-1.txt")) {
      String kept = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      for (String line : kept.lines().filter(line -> !line.startsWith("#")).toList()) {
        String[] words = line.split(" ", -1);
        Envelope envelope =
            codec(words[0].equals("sealed")).decode(HexFormat.of().parseHex(words[2]));
        assertEquals(
            words[1],
            envelope.sender()
                + "/"
                + envelope.incarnation()
                + "/"
                + envelope.part()
                + "/"
                + envelope.counter()
                + "/"
                + envelope.first()
                + "/"
                + envelope.piece()
                + "/"
                + envelope.pieces()
                + "/"
                + new String(envelope.body(), StandardCharsets.UTF_8));
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
