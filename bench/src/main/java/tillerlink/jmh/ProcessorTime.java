package tillerlink.jmh;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Collection;
import java.util.List;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.infra.IterationParams;
import org.openjdk.jmh.profile.InternalProfiler;
import org.openjdk.jmh.results.AggregationPolicy;
import org.openjdk.jmh.results.IterationResult;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.ScalarResult;

/**
 * Nanoseconds of processor time for each operation, beside JMH's own clock: what the whole process
 * took, collection and compilation too. On a machine with more to do than processors the clock
 * counts waiting for one; this does not. Use: {@code -prof tillerlink.jmh.ProcessorTime}.
 */
public final class ProcessorTime implements InternalProfiler {
  private final OperatingSystemMXBean machine =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  private long before;

  @Override
  public String getDescription() {
    return "processor time of the process for each operation";
  }

  @Override
  public void beforeIteration(BenchmarkParams of, IterationParams iteration) {
    before = machine.getProcessCpuTime();
  }

  @Override
  public Collection<? extends Result<?>> afterIteration(
      BenchmarkParams of, IterationParams iteration, IterationResult result) {
    double took = machine.getProcessCpuTime() - before;
    long operations = result.getMetadata().getAllOps();
    return operations == 0
        ? List.of()
        : List.of(new ScalarResult("processor", took / operations, "ns/op", AggregationPolicy.AVG));
  }
}
