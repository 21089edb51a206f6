package tillerlink.wirehost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.plain.Json;
import tillerlink.plain.Units;
import tillerlink.port.DispatchPolicyFactory;

/**
 * Hosts many gateways on the simulator's wire. Each line of input is a batch of events; each line
 * of output contains the actions in reply to a batch. The gateways share nothing but the endpoint
 * lists that events define. A single thread runs all gateways.
 */
public final class WireHost {
  /** The list number of an event that refers to no endpoint list. */
  private static final int NO_LIST = -1;

  /** The events of one line of input and its time, in tenths of a millisecond. */
  private record Batch(long now, List<Message> events) {}

  private final DispatchPolicyFactory policies;
  private final JsonFactory factory = new JsonFactory();
  private final ByteArrayOutputStream reply = new ByteArrayOutputStream();
  private final JsonGenerator actions;
  private final Map<Integer, Instance> instances = new HashMap<>();

  /** The endpoint lists by number. An event may redefine a number. */
  private final Map<Integer, List<Row>> endpointLists = new HashMap<>();

  /** The gateways with events in the current batch; their decisions are applied at its end. */
  private final Set<Integer> gatewaysWithEvents = new LinkedHashSet<>();

  /**
   * Creates a host without gateways.
   *
   * @param policies creates the dispatch policy of each gateway
   */
  public WireHost(DispatchPolicyFactory policies) throws IOException {
    this.policies = policies;
    actions = factory.createGenerator(reply).setRootValueSeparator(new SerializedString(""));
  }

  /**
   * Answers batches until the end of the input. An exception inside a gateway is reported as an
   * action of that gateway.
   *
   * @param in the batches, one JSON object per line
   * @param out receives the replies, one JSON object per line
   * @throws MalformedWireException if a line is not a valid batch
   * @throws IOException if reading or writing fails
   */
  public void serve(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long lineNumber = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      lineNumber++;
      if (line.isBlank()) {
        continue;
      }
      try {
        answer(line, out);
      } catch (JsonProcessingException e) {
        throw new MalformedWireException(
            "line " + lineNumber + " is not JSON: " + e.getOriginalMessage());
      } catch (MalformedWireException e) {
        throw new MalformedWireException("line " + lineNumber + ": " + e.getMessage());
      }
    }
  }

  /** Handles one batch and writes its reply. */
  private void answer(String line, OutputStream out) throws IOException {
    try (JsonParser parser = factory.createParser(line)) {
      actions.writeStartObject();
      actions.writeArrayFieldStart(SimulatorWire.ACTIONS);
      handle(readBatch(parser));
      actions.writeEndArray();
      actions.writeEndObject();
    }
    actions.writeRaw('\n');
    actions.flush();
    reply.writeTo(out);
    reply.reset();
    out.flush();
  }

  private static Batch readBatch(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedWireException(
          "expected a batch as an object, got " + parser.currentToken());
    }
    Long wallMicros = null;
    List<Message> events = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      if (name.equals(SimulatorWire.CLOCK) && token == JsonToken.VALUE_NUMBER_INT) {
        wallMicros = parser.getLongValue();
      } else if (name.equals(SimulatorWire.EVENTS) && token == JsonToken.START_ARRAY) {
        events = readEvents(parser);
      } else {
        parser.skipChildren();
      }
    }
    if (wallMicros == null || events == null) {
      throw new MalformedWireException("batch has no integer wall_us or no inbox array");
    }
    if (parser.nextToken() != null) {
      throw new MalformedWireException("expected one batch per line, got another value after it");
    }
    return new Batch(Units.toTenths(wallMicros), events);
  }

  private static List<Message> readEvents(JsonParser parser) throws IOException {
    List<Message> events = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      events.add(Message.of(Json.value(parser)));
    }
    return events;
  }

  private void handle(Batch batch) {
    for (Message event : batch.events) {
      handle(batch.now, event);
    }
    for (int gateway : gatewaysWithEvents) {
      Instance instance = instances.get(gateway);
      if (instance != null) {
        runIsolated(instance, () -> instance.policy().applyDecisions(batch.now));
      }
    }
    gatewaysWithEvents.clear();
  }

  private void handle(long now, Message event) {
    if (event.name().equals(SimulatorWire.DEFINE_LIST)) {
      List<Row> entries = new ArrayList<>();
      event
          .list(SimulatorWire.DefineList.ENTRIES, "rows")
          .forEach(entry -> entries.add(Row.of(entry)));
      endpointLists.put((int) event.number(SimulatorWire.DefineList.LIST_NUMBER, "page"), entries);
      return;
    }
    int gateway = (int) event.number(SimulatorWire.GATEWAY, "gateway_id");
    switch (event.name()) {
      case SimulatorWire.GATEWAY_STARTED -> start(now, gateway, event);
      case SimulatorWire.GATEWAY_STOPPED -> {
        instances.remove(gateway);
        gatewaysWithEvents.remove(gateway);
      }
      default -> dispatch(now, gateway, event);
    }
  }

  private void start(long now, int gateway, Message event) {
    long seed = event.number(SimulatorWire.GatewayStarted.SEED, "rng_seed");
    Map<String, Object> settings = event.object(SimulatorWire.GatewayStarted.SETTINGS, "settings");
    gatewaysWithEvents.remove(gateway);
    gatewaysWithEvents.add(gateway);
    ActionWriter writer = new ActionWriter(actions, gateway);
    try {
      instances.put(gateway, new Instance(now, seed, settings, policies, writer));
    } catch (RuntimeException e) {
      e.printStackTrace();
      writer.panic(describe(e));
    }
  }

  private void dispatch(long now, int gateway, Message event) {
    Instance instance = instances.get(gateway);
    if (instance == null) {
      System.err.println(
          "tillerlink: ignoring event "
              + event.name()
              + " for gateway "
              + gateway
              + ", which is not running");
      return;
    }
    gatewaysWithEvents.add(gateway);
    List<Row> entries =
        event.name().equals(SimulatorWire.ENDPOINTS_CHANGED)
            ? endpointLists.getOrDefault(
                (int) event.numberOr(SimulatorWire.EndpointsChanged.LIST_NUMBER, NO_LIST),
                List.of())
            : List.of();
    runIsolated(
        instance,
        () -> {
          if (!instance.handle(now, event, entries)) {
            instance.log("unknown event " + event.name() + " ignored");
          }
        });
  }

  /** Runs work of one gateway and reports its exceptions, so that they do not end the others. */
  private static void runIsolated(Instance instance, Runnable task) {
    try {
      task.run();
    } catch (MalformedWireException e) {
      throw e;
    } catch (RuntimeException e) {
      e.printStackTrace();
      instance.panic(describe(e));
    }
  }

  private static String describe(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return trace.length == 0 ? e.toString() : e + " at " + trace[0];
  }
}
