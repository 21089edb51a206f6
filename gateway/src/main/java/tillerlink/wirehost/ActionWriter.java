package tillerlink.wirehost;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes the actions of one gateway to the reply, each as an array of name, gateway and values. */
final class ActionWriter {
  private final JsonGenerator out;
  private final int gateway;

  ActionWriter(JsonGenerator out, int gateway) {
    this.out = out;
    this.gateway = gateway;
  }

  void updatePriorityAndGrant(String request, int priority, long grant) {
    write(
        SimulatorWire.UPDATE_PRIORITY_AND_GRANT,
        () -> {
          out.writeString(request);
          out.writeNumber(priority);
          out.writeNumber(grant);
        });
  }

  void sendAttempt(String request, String engine) {
    write(
        SimulatorWire.SEND_ATTEMPT,
        () -> {
          out.writeString(request);
          out.writeNumber(0);
          out.writeString(engine);
        });
  }

  void cancelAttempt(String request, int attempt) {
    write(
        SimulatorWire.CANCEL_ATTEMPT,
        () -> {
          out.writeString(request);
          out.writeNumber(attempt);
        });
  }

  void rejectRequest(String request, long retryAfterMicros) {
    write(
        SimulatorWire.REJECT_REQUEST,
        () -> {
          out.writeString(request);
          out.writeNumber(retryAfterMicros);
        });
  }

  void failRequest(String request) {
    write(SimulatorWire.FAIL_REQUEST, () -> out.writeString(request));
  }

  void scheduleWakeup(long atMicros) {
    write(
        SimulatorWire.SCHEDULE_WAKEUP,
        () -> {
          out.writeNumber(atMicros);
          out.writeNumber(0);
        });
  }

  void watchEndpoints() {
    write(SimulatorWire.WATCH_ENDPOINTS, () -> out.writeBoolean(true));
  }

  void log(String line) {
    write(SimulatorWire.LOG, () -> out.writeString(line));
  }

  /** Writes the action that reports an internal error of the gateway. */
  void panic(String cause) {
    write(SimulatorWire.PANIC, () -> out.writeString(cause));
  }

  /** Writes the values of an action. */
  private interface ValueWriter {
    void write() throws IOException;
  }

  private void write(String name, ValueWriter valueWriter) {
    try {
      out.writeStartArray();
      out.writeString(name);
      out.writeNumber(gateway);
      valueWriter.write();
      out.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
