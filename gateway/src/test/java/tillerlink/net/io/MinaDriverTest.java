package tillerlink.net.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import tillerlink.net.state.Channel;
import tillerlink.net.state.DisconnectReason;

class MinaDriverTest {
  private static final int PATIENCE_MS = 10_000;

  /**
   * Guards the list of a large fleet: 16 KB, which some 180 engines fill, are not enough, and short
   * answers before it must not shrink the room for it.
   */
  @Test
  void aLongDiscoveryAnswerIsReceivedWholeWhateverCameBefore() throws Exception {
    BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    List<Integer> came = new ArrayList<>();
    try (DatagramSocket names =
        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
      names.setSoTimeout(PATIENCE_MS);
      MinaDriver driver =
          new MinaDriver(
              queue,
              (InetSocketAddress) names.getLocalSocketAddress(),
              bytes -> came.add(bytes.length),
              channel -> null,
              10,
              () -> 0);
      List<Integer> sent = List.of(60, 60, 60, 60, 60, 60, 8000, 60, 16_384, 30_000, 60, 65_507);
      for (int length : sent) {
        driver.sendDiscoveryQuery(new byte[] {1});
        while (came.size() < sent.size() && !question(names, length, queue)) {
          driver.sendDiscoveryQuery(new byte[] {1});
        }
      }
      assertEquals(sent, came);
    }
  }

  /**
   * Guards the wire: what waits behind a peer that does not read is not written any more once its
   * time has passed, and what was written before it is not torn by that.
   */
  @Test
  void aLateWriteExpiresWhole() throws Exception {
    BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    AtomicLong clock = new AtomicLong(1);
    InetAddress here = InetAddress.getLoopbackAddress();
    try (ServerSocket engine = new ServerSocket()) {
      engine.setReceiveBufferSize(4096);
      engine.bind(new InetSocketAddress(here, 0));
      try (MinaDriver driver =
          new MinaDriver(
              queue,
              new InetSocketAddress(here, 9),
              bytes -> {},
              channel -> null,
              10,
              clock::get)) {
        Heard heard = new Heard();
        Channel channel = driver.connect((InetSocketAddress) engine.getLocalSocketAddress(), heard);
        driver.flush();
        try (Socket accepted = engine.accept()) {
          take(queue, () -> heard.events.contains("opened"));
          int filled = 16_000_000;
          channel.write(new byte[filled]);
          channel.writeUntil("late".getBytes(StandardCharsets.US_ASCII), 100);
          channel.writeUntil("soon".getBytes(StandardCharsets.US_ASCII), 1000);
          driver.flush();
          // The first fills the socket; only what the peer reads makes room for the others.
          accepted.getInputStream().readNBytes(1);
          clock.set(100);
          accepted.getInputStream().readNBytes(filled - 1);
          assertEquals(
              "soon",
              new String(accepted.getInputStream().readNBytes(4), StandardCharsets.US_ASCII));
          take(queue, () -> heard.events.size() == 4);
          assertEquals(List.of("opened", "written", "expired", "written at 100"), heard.events);
        }
      }
    }
  }

  private static void take(BlockingQueue<Runnable> queue, BooleanSupplier until)
      throws InterruptedException {
    while (!until.getAsBoolean()) {
      Runnable event = queue.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      assertNotNull(event, "nothing more comes");
      event.run();
    }
  }

  /** Notes what it is told. */
  private static final class Heard implements Channel.Owner {
    private final List<String> events = new ArrayList<>();

    @Override
    public void onOpened() {
      events.add("opened");
    }

    @Override
    public void onBytes(byte[] bytes) {
      events.add("fed");
    }

    @Override
    public void onWritten() {
      events.add("written");
    }

    @Override
    public void onWritten(long firstByteAt) {
      events.add("written at " + firstByteAt);
    }

    @Override
    public void onWriteExpired() {
      events.add("expired");
    }

    @Override
    public void onClosed(DisconnectReason how) {
      events.add("ended");
    }
  }

  /** Answers one question and takes what comes of it; false if it was lost on the way. */
  private static boolean question(DatagramSocket names, int length, BlockingQueue<Runnable> queue)
      throws Exception {
    DatagramPacket packet = new DatagramPacket(new byte[16], 16);
    // The first question waits for its socket, which opens on another thread.
    while (true) {
      names.setSoTimeout(50);
      try {
        names.receive(packet);
        break;
      } catch (java.net.SocketTimeoutException e) {
        for (Runnable event = queue.poll(); event != null; event = queue.poll()) {
          event.run();
        }
      }
    }
    names.send(new DatagramPacket(new byte[length], length, packet.getSocketAddress()));
    Runnable event = queue.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    if (event == null) {
      return false;
    }
    event.run();
    return true;
  }
}
