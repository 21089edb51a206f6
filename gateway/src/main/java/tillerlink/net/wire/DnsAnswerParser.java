package tillerlink.net.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.model.Engine.Status;

/**
 * Parser of one answer to the query for the endpoint list. Each engine is named by an SRV record;
 * the A and TXT records of its target give its address and attributes; the SOA record gives the
 * serial number of the list.
 */
final class DnsAnswerParser {
  private static final int RESPONSE_FLAG = 0x8000;
  private static final int TRUNCATED_FLAG = 0x0200;
  private static final int RESPONSE_CODE_MASK = 15;

  /** The size of the type and class that follow the name of a question, in bytes. */
  private static final int QUESTION_TAIL_SIZE = 4;

  /**
   * The size of the type, class, time to live and length that follow the name of a record, in
   * bytes.
   */
  private static final int RECORD_HEADER_SIZE = 10;

  /** The offset of the length within those fields, in bytes. */
  private static final int RECORD_LENGTH_OFFSET = 8;

  /** The priority of the SRV record of a draining engine. */
  private static final int DRAINING_PRIORITY = 1;

  /** The weight in the SRV record of an engine with the default weight 1. */
  private static final double WEIGHT_UNIT = 10;

  private static final String KIND_ATTRIBUTE = "kind";
  private static final String CELL_ATTRIBUTE = "cell";
  private static final String STARTED_ATTRIBUTE = "started";
  private static final long NO_SERIAL = -1;

  /**
   * The data of an SRV record.
   *
   * @param weight the weight of the engine in units of 1 / {@link #WEIGHT_UNIT}
   */
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
   * Parses the answer. May be called only once.
   *
   * @param id the id of the query that the message must answer
   * @throws IllegalArgumentException if the message is not a usable answer to that query
   * @throws IndexOutOfBoundsException if the message ends within a value
   */
  EndpointWatchEvent parse(int id) {
    if (reader.unsignedShortAt(0) != id) {
      throw new MalformedProtocolException(
          "expected query id " + id + ", got " + reader.unsignedShortAt(0));
    }
    int flags = reader.unsignedShortAt(2);
    if ((flags & RESPONSE_FLAG) == 0 || (flags & RESPONSE_CODE_MASK) != 0) {
      throw new MalformedProtocolException(
          "not a successful response: flags 0x" + Integer.toHexString(flags));
    }
    boolean truncated = (flags & TRUNCATED_FLAG) != 0;
    for (int remaining = reader.unsignedShortAt(4); remaining > 0; remaining--) {
      reader.readName();
      reader.skip(QUESTION_TAIL_SIZE);
    }
    int records =
        reader.unsignedShortAt(6) + reader.unsignedShortAt(8) + reader.unsignedShortAt(10);
    // A truncated answer may lack whole records of any section, although its counts include them.
    for (int remaining = records; remaining > 0 && !(truncated && reader.atEnd()); remaining--) {
      readRecord();
    }
    if (serial == NO_SERIAL) {
      throw new MalformedProtocolException(
          truncated ? "truncated before its serial" : "no SOA record with the serial");
    }
    return toEvent(truncated);
  }

  private void readRecord() {
    String owner = reader.readName().toLowerCase(Locale.ROOT);
    int start = reader.position();
    int type = reader.unsignedShortAt(start);
    int end = start + RECORD_HEADER_SIZE + reader.unsignedShortAt(start + RECORD_LENGTH_OFFSET);
    reader.skip(RECORD_HEADER_SIZE);
    if (end > message.length) {
      throw new MalformedProtocolException(
          "record ends at byte " + end + " of a message of " + message.length);
    }
    switch (type) {
      case Dns.TYPE_SRV -> services.add(readService());
      case Dns.TYPE_A -> addresses.put(owner, reader.readAddress());
      case Dns.TYPE_TXT -> attributes.put(owner, reader.readAttributes(end));
      case Dns.TYPE_SOA -> {
        reader.readName();
        reader.readName();
        serial = reader.readUnsignedInt();
      }
      // Records of other types are ignored.
      default -> {}
    }
    reader.moveTo(end);
  }

  private Service readService() {
    int priority = reader.readUnsignedShort();
    int weight = reader.readUnsignedShort();
    int port = reader.readUnsignedShort();
    return new Service(reader.readName(), priority, weight, port);
  }

  private EndpointWatchEvent toEvent(boolean truncated) {
    boolean partial = truncated;
    List<EndpointEntry> entries = new ArrayList<>();
    for (Service service : services) {
      String owner = service.target.toLowerCase(Locale.ROOT);
      EndpointEntry entry = toEntry(service, addresses.get(owner), attributes.get(owner));
      partial |= entry.address() == null;
      entries.add(entry);
    }
    return new EndpointWatchEvent(serial, !partial, partial, entries);
  }

  /**
   * Creates the entry of an engine. Without an address or without attributes, the entry has the
   * status of the engine only.
   *
   * @param address null if the answer has no A record of the engine
   * @param attributes null if the answer has no TXT record of the engine
   */
  private static EndpointEntry toEntry(
      Service service, String address, Map<String, String> attributes) {
    String[] labels = service.target.split("\\.", 0);
    if (labels.length < 2) {
      throw new MalformedProtocolException("no zone in SRV target '" + service.target + "'");
    }
    boolean complete = address != null && attributes != null;
    return new EndpointEntry(
        labels[0],
        complete ? address : null,
        service.port,
        labels[1],
        complete ? attributes.getOrDefault(KIND_ATTRIBUTE, "") : "",
        complete ? (int) longOrZero(attributes.get(CELL_ATTRIBUTE)) : 0,
        service.priority == DRAINING_PRIORITY ? Status.DRAINING : Status.READY,
        service.weight / WEIGHT_UNIT,
        complete ? longOrZero(attributes.get(STARTED_ATTRIBUTE)) : 0);
  }

  private static long longOrZero(String text) {
    return text == null ? 0 : Long.parseLong(text);
  }
}
