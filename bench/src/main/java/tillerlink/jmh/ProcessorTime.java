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
 * Reports the processor time of the process for each operation in nanoseconds, in addition to JMH's
 * elapsed time. It includes garbage collection and compilation. On a machine with more runnable
 * threads than processors the elapsed time includes waiting for a processor; the processor time
 * does not. Use: {@code -prof tillerlink.jmh.ProcessorTime}.
 */
public final class ProcessorTime implements InternalProfiler {
  private final OperatingSystemMXBean operatingSystem =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  private long cpuNanosBefore;

  @Override
  public String getDescription() {
    return "processor time of the process for each operation";
  }

  @Override
  public void beforeIteration(BenchmarkParams benchmark, IterationParams iteration) {
    cpuNanosBefore = operatingSystem.getProcessCpuTime();
  }

  @Override
  public Collection<? extends Result<?>> afterIteration(
      BenchmarkParams benchmark, IterationParams iteration, IterationResult result) {
    double cpuNanos = operatingSystem.getProcessCpuTime() - cpuNanosBefore;
    long operations = result.getMetadata().getAllOps();
    return operations == 0
        ? List.of()
        : List.of(
            new ScalarResult("processor", cpuNanos / operations, "ns/op", AggregationPolicy.AVG));
  }
}
