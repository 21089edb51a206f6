package tillerlink.net.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.model.Engine.Status;

/**
 * Parses one answer to the query for the endpoint list. An SRV record names each engine; the A and
 * TXT records of its target give its address and attributes; the SOA record gives the serial number
 * of the list.
 */
final class DnsAnswerParser {
  private static final int RESPONSE_FLAG = 0x8000;
  private static final int TRUNCATED_FLAG = 0x0200;
  private static final int RESPONSE_CODE_MASK = 15;

  /** Type and class of a question, behind its name. */
  private static final int QUESTION_TAIL_SIZE = 4;

  /** Type, class, time to live and length of a record, behind its name. */
  private static final int RECORD_HEADER_SIZE = 10;

  private static final int RECORD_LENGTH_OFFSET = 8;

  /** The priority of an SRV record whose engine drains. */
  private static final int DRAINING_PRIORITY = 1;

  /** The weight of an SRV record whose engine has weight 1. */
  private static final double WEIGHT_UNIT = 10;

  private static final String KIND_ATTRIBUTE = "kind";
  private static final String CELL_ATTRIBUTE = "cell";
  private static final String STARTED_ATTRIBUTE = "started";
  private static final long NO_SERIAL = -1;

  /** An SRV record. */
  private record Service(String target, int priority, int weight, int port) {}

  private final byte[] message;
  private final DnsReader reader;
  private final List<Service> services = new ArrayList<>();
  private final Map<String, String> addresses = new HashMap<>();
  private final Map<String, Map<String, String>> attributes = new HashMap<>();
  private long serial = NO_SERIAL;

  DnsAnswerParser(byte[] message) {
    this.message = message;
    reader = new DnsReader(message, Dns.HEADER_SIZE);
  }

  /**
   * Parses the answer; to be called once.
   *
   * @throws IllegalArgumentException if it is no usable answer to the query of that id
   * @throws IndexOutOfBoundsException if it ends too early
   */
  EndpointWatchEvent parse(int id) {
    if (reader.unsignedShortAt(0) != id) {
      throw new MalformedProtocolException("a foreign id");
    }
    int flags = reader.unsignedShortAt(2);
    if ((flags & RESPONSE_FLAG) == 0 || (flags & RESPONSE_CODE_MASK) != 0) {
      throw new MalformedProtocolException("no answer, or a fault code: flags " + flags);
    }
    boolean truncated = (flags & TRUNCATED_FLAG) != 0;
    for (int left = reader.unsignedShortAt(4); left > 0; left--) {
      reader.name();
      reader.skip(QUESTION_TAIL_SIZE);
    }
    int records =
        reader.unsignedShortAt(6) + reader.unsignedShortAt(8) + reader.unsignedShortAt(10);
    // A truncated answer may leave out whole records of any section, whatever its counts say.
    for (int left = records; left > 0 && !(truncated && reader.atEnd()); left--) {
      readRecord();
    }
    if (serial == NO_SERIAL) {
      throw new MalformedProtocolException(truncated ? "truncated before its serial" : "no serial");
    }
    return event(truncated);
  }

  private void readRecord() {
    String owner = reader.name().toLowerCase(Locale.ROOT);
    int start = reader.position();
    int type = reader.unsignedShortAt(start);
    int end = start + RECORD_HEADER_SIZE + reader.unsignedShortAt(start + RECORD_LENGTH_OFFSET);
    reader.skip(RECORD_HEADER_SIZE);
    if (end > message.length) {
      throw new MalformedProtocolException("a record past the end");
    }
    switch (type) {
      case Dns.TYPE_SRV -> services.add(service());
      case Dns.TYPE_A -> addresses.put(owner, reader.address());
      case Dns.TYPE_TXT -> attributes.put(owner, reader.attributes(end));
      case Dns.TYPE_SOA -> {
        reader.name();
        reader.name();
        serial = reader.unsignedInt();
      }
      // Other records are ignored.
      default -> {}
    }
    reader.moveTo(end);
  }

  private Service service() {
    int priority = reader.unsignedShort();
    int weight = reader.unsignedShort();
    int port = reader.unsignedShort();
    return new Service(reader.name(), priority, weight, port);
  }

  private EndpointWatchEvent event(boolean truncated) {
    boolean partial = truncated;
    List<EndpointEntry> entries = new ArrayList<>();
    for (Service service : services) {
      String owner = service.target.toLowerCase(Locale.ROOT);
      EndpointEntry entry = entry(service, addresses.get(owner), attributes.get(owner));
      partial |= entry.address() == null;
      entries.add(entry);
    }
    return new EndpointWatchEvent(serial, !partial, partial, entries);
  }

  /** An entry without its address or attributes states the engine's status only. */
  private static EndpointEntry entry(
      Service service, String address, Map<String, String> attributes) {
    String[] labels = service.target.split("\\.", 0);
    if (labels.length < 2) {
      throw new MalformedProtocolException("no zone in " + service.target);
    }
    boolean complete = address != null && attributes != null;
    return new EndpointEntry(
        labels[0],
        complete ? address : null,
        service.port,
        labels[1],
        complete ? attributes.getOrDefault(KIND_ATTRIBUTE, "") : "",
        complete ? (int) number(attributes.get(CELL_ATTRIBUTE)) : 0,
        service.priority == DRAINING_PRIORITY ? Status.DRAINING : Status.READY,
        service.weight / WEIGHT_UNIT,
        complete ? number(attributes.get(STARTED_ATTRIBUTE)) : 0);
  }

  private static long number(String text) {
    return text == null ? 0 : Long.parseLong(text);
  }
}
