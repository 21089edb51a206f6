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

/**
 * Tests which datagrams between gateways are accepted, and which are refused, counted and logged.
 */
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

  /**
   * Covers the lengths around which the number of fragments changes, sealed and unsealed, with the
   * fragments in random order.
   */
  @Test
  void messagesOfAllLengthsAreReassembled() {
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
              "datagram size at message length " + length + ": " + datagram.length);
          assertNull(message);
          message = inbox.take(0, "a", datagram);
        }
        assertArrayEquals(bytes(length, length), message.body());
        assertEquals("n".repeat(Envelope.MAX_NAME_BYTES) + 3, message.sender() + message.part());
      }
      assertEquals(
          List.of(),
          outbox.datagrams(1, bytes(Envelope.MAX_BODY_BYTES * Envelope.MAX_FRAGMENTS + 1, 1)));
      assertEquals(Map.of(), inbox.refused());
    }
  }

  /**
   * Guards against accepting a sealed datagram that is truncated or has any byte changed, and
   * against returning part of the body of a truncated unsealed one.
   */
  @Test
  void truncatedAndCorruptedDatagramsAreNeverAccepted() {
    byte[] original = outbox(true).datagrams(1, "hello".getBytes(StandardCharsets.UTF_8)).get(0);
    for (int length = 0; length < original.length; length++) {
      assertNull(inbox(true).take(0, "a", Arrays.copyOf(original, length)));
      byte[] corrupted = original.clone();
      corrupted[length] ^= 0x11;
      assertNull(inbox(true).take(0, "a", corrupted), "byte " + length);
    }
    byte[] open = outbox(false).datagrams(1, "hello".getBytes(StandardCharsets.UTF_8)).get(0);
    for (int length = 0; length < open.length; length++) {
      Inbox.Message message = inbox(false).take(0, "a", Arrays.copyOf(open, length));
      assertTrue(message == null || message.body().length == 0, "truncated after " + length);
    }
    assertNotNull(inbox(true).take(0, "a", original));
  }

  /**
   * Guards against exceptions and unbounded memory in the inbox under random, corrupted and
   * incomplete datagrams.
   */
  @Test
  void malformedDatagramsNeitherThrowNorExceedTheLimits() {
    SplittableRandom random = new SplittableRandom(11);
    Inbox inbox = inbox(false);
    Outbox outbox = outbox(false);
    for (int i = 0; i < 40_000; i++) {
      byte[] datagram;
      if (i % 4 == 0) {
        datagram = bytes(random.nextInt(1400), i);
      } else {
        List<byte[]> fragments =
            outbox.datagrams(1 + random.nextInt(4), bytes(random.nextInt(5000), i));
        datagram = fragments.get(random.nextInt(fragments.size()));
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

  /** Each refusal is logged with its reason, at most once every ten seconds for each reason. */
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
        datagram from a:1 refused: it exceeds the maximum size; 1 so far
        datagram from a:1 refused: it requires a newer version of the message format; 1 so far
        datagram from a:1 refused: it belongs to another fleet; 1 so far
        datagram from a:1 refused: it fails the verification of its seal; 1 so far
        datagram from a:1 refused: it has this process's own name and incarnation; 1 so far
        datagram from a:1 refused: it is a duplicate or too old to be checked; 1 so far
        datagram from a:1 refused: it has no seal, but this gateway has a secret; 1 so far
        datagram from a:1 refused: it fails the verification of its seal; 1 so far
        datagram from a:1 refused: it has no seal, but this gateway has a secret; 3 so far\
        """,
        String.join("\n", lines));
  }

  /**
   * Counters that arrive in random order are each accepted once within the window; older ones are
   * never accepted.
   */
  @Test
  void everyCounterIsAcceptedOnceWithinTheWindow() {
    SplittableRandom random = new SplittableRandom(5);
    for (int round = 0; round < 50; round++) {
      ReplayWindow window = new ReplayWindow();
      boolean[] received = new boolean[20_000];
      long newest = 0;
      for (int i = 0; i < 20_000; i++) {
        int counter = Math.max(1, Math.min(19_999, i + random.nextInt(10) - random.nextInt(6000)));
        boolean expected = counter > newest - ReplayWindow.SIZE && !received[counter];
        assertEquals(
            expected, window.markReceived(counter), "counter " + counter + " after " + newest);
        received[counter] |= expected;
        newest = Math.max(newest, counter);
      }
    }
    ReplayWindow jumpingWindow = new ReplayWindow();
    assertTrue(
        jumpingWindow.markReceived(1)
            && jumpingWindow.markReceived(Long.MAX_VALUE)
            && !jumpingWindow.markReceived(Long.MAX_VALUE)
            && !jumpingWindow.markReceived(1));
  }

  /**
   * Guards against a lost fragment that affects messages other than its own, and against a sender
   * that crowds out the incomplete messages of another.
   */
  @Test
  void lostFragmentDropsOnlyItsOwnMessage() {
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

  /** Every later release reads the datagrams of release 1; unknown fields are skipped. */
  @Test
  void datagramsOfTheFirstReleaseAreDecoded() throws IOException, RefusedException {
    try (InputStream in = EnvelopeTest.class.getResourceAsStream("/envelope/release-1.txt")) {
      String stored = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      for (String line : stored.lines().filter(line -> !line.startsWith("#")).toList()) {
        String[] fields = line.split(" ", -1);
        Envelope envelope =
            codec(fields[0].equals("sealed")).decode(HexFormat.of().parseHex(fields[2]));
        assertEquals(
            fields[1],
            envelope.sender()
                + "/"
                + envelope.incarnation()
                + "/"
                + envelope.component()
                + "/"
                + envelope.counter()
                + "/"
                + envelope.firstCounter()
                + "/"
                + envelope.fragmentIndex()
                + "/"
                + envelope.fragmentCount()
                + "/"
                + new String(envelope.body(), StandardCharsets.UTF_8));
      }
    }
    byte[] good = outbox(false).datagrams(1, new byte[] {1}).get(0);
    byte[] unknownFields = new FieldWriter().text(900, "of a later release").number(901, 5).done();
    byte[] later = Arrays.copyOf(good, good.length + unknownFields.length);
    System.arraycopy(unknownFields, 0, later, good.length, unknownFields.length);
    assertEquals("n1", codec(false).decode(later).sender());
    assertThrows(
        RefusedException.class, () -> codec(false).decode(Arrays.copyOf(later, later.length - 1)));
  }
}
