#include "lc-load-time.h"

#include "lb-time.h"

/* As long as no load was seen: engines of today take about 0.9 s, and tell it 0.2 s later. */
#define FIRST_MEAN (1100 * LB_MSEC)
#define WEIGHT 0.2 /* of the latest load in the mean */
/* Asked this part of the mean after the order, and again after that part: the mean of what shows is
 * a little later than the end itself, so that the first question is sometimes right and the mean
 * can fall. Of loads that end after 1.12 s as their engines state it, the end is seen 24 ms later
 * in the mean, with 1.9 questions; it was 50 ms and 2.3 with questions after 1.01 s and each 0.12
 * s. */
#define FIRST_PART 0.96
#define NEXT_PART 0.045
/* Less is no use: the answer itself takes some ms. */
#define MIN_NEXT (40 * LB_MSEC)

void
lc_load_time_add_sample (LcLoadTime *load, LbTime time)
{
  LbTime mean = load->mean > 0 ? load->mean : FIRST_MEAN;

  load->mean = mean + (LbTime)(WEIGHT * (double)(time - mean));
}

static LbTime
mean_of (const LcLoadTime *load)
{
  return load->mean > 0 ? load->mean : FIRST_MEAN;
}

LbTime
lc_load_time_first_poll_delay (const LcLoadTime *load)
{
  return (LbTime)(FIRST_PART * (double)mean_of (load));
}

LbTime
lc_load_time_poll_interval (const LcLoadTime *load)
{
  return lb_time_later ((LbTime)(NEXT_PART * (double)mean_of (load)), MIN_NEXT);
}
