#include "lc-load-time.h"

#include "lb-time.h"

/* Mean load time assumed until the end of the first load: engines take about 0.9 s to load, and
 * report the end 0.2 s later. */
#define INITIAL_MEAN_LOAD_TIME (1100 * LB_MSEC)
#define LOAD_TIME_EWMA_WEIGHT 0.2 /* weight of the latest sample in the moving average */
/* Delay of the first poll as a fraction of the mean load time. The mean includes the time until a
 * poll detects the end of a load. A first poll slightly before the mean sometimes finds the load
 * ended, so that the mean can decrease. Loads that end after 1.12 s are detected 24 ms late on
 * average, with 1.9 polls. A first poll after 1.01 s and an interval of 0.12 s gave 50 ms and 2.3
 * polls. */
#define FIRST_POLL_DELAY_FACTOR 0.96
#define POLL_INTERVAL_FACTOR 0.045 /* interval of further polls, fraction of the mean load time */
/* A shorter poll interval does not detect the end of a load earlier, since an engine takes several
 * ms to answer a poll. */
#define MIN_POLL_INTERVAL (40 * LB_MSEC)

void
lc_load_time_add_sample (LcLoadTime *load, LbTime time)
{
  LbTime mean = load->mean > 0 ? load->mean : INITIAL_MEAN_LOAD_TIME;

  load->mean = mean + (LbTime)(LOAD_TIME_EWMA_WEIGHT * (double)(time - mean));
}

static LbTime
get_mean_load_time (const LcLoadTime *load)
{
  return load->mean > 0 ? load->mean : INITIAL_MEAN_LOAD_TIME;
}

LbTime
lc_load_time_first_poll_delay (const LcLoadTime *load)
{
  return (LbTime)(FIRST_POLL_DELAY_FACTOR * (double)get_mean_load_time (load));
}

LbTime
lc_load_time_poll_interval (const LcLoadTime *load)
{
  return lb_time_later ((LbTime)(POLL_INTERVAL_FACTOR * (double)get_mean_load_time (load)),
                        MIN_POLL_INTERVAL);
}
