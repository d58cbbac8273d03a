package policy

const ( // tuned values: whatever a deployment states or shows is preferred to a figure here
	second, beat                            = int64(1e9), int64(1e9) / 4 // the longest pause between two looks
	proxiesTable, linesTable, turns         = 5, 5.0, 10007              // least of a table; mixes the guests
	entryShare, entrySpan                   = 0.5, 5 * second            // of a new replica's weight, how long
	ordinaryPart, urgentPart, changeWorth   = 0.4, 0.85, 0.15            // of the channel's limit; a change sent
	ordinaryMsgs, addMsgs, urgentMsgs       = 0.5, 0.75, 0.95            // of a proxy's message cap
	stepTimeout, lostSpan, forgetSpan       = 2 * second, 30 * second, 60 * second
	recent, samplesKept                     = 4 * second, 32       // older samples are not judged, more not kept
	settleSpan, firstSteps                  = 4 * second, 8        // a weight follows in this, sooner if new
	kindSpread, shrink, slowest             = 2, 8.0, 1.0 / 16     // calm kinds; prior and least of a weight
	idleFirst, idleLast, firstSamples       = 0.85, 0.6, 15.0      // idle part of the calm, at first and later
	drain, drainMost, lateMost              = 0.1, 5.0, 2.5        // full queues cost weight; overload is late
	coldSpare, coldLost                     = 1.0 / 3, 0.3         // of a fall's multiple; flows lost: no cold
	sickTries, probationTries, sickPart     = 5, 3, 0.5            // for a verdict: tries, part missed more
	lostBad, fewGood, sickMost              = 0.4, 0.2, 0.75       // no verdicts; good left; so many are out
	ejectionSpan, mostEjections, slowAnswer = 3 * second, 2, 2.0   // rests of the sick; so much later is slow
	spareGuest, spareIdler, deadPart        = 1.1, 1.35, 0.65      // over its own, or so few serve: guests come
	strained, missedMost, mostPart          = 0.75, 0.15, 0.75     // overload: answers, misses, of most replicas
	missedOnce, shareSteps, guestSteps      = 0.08, 20, 10         // one try only; steps of levels and guests
	lineFirst, lineDown, lineUp             = 0.9, 0.9, 0.01       // the line: first of the served, later, up
	demandSpan, priorSpan, surge            = 8 * second, 4.0, 1.5 // flows of a proxy; a sudden rise
	confidenceMost, confidenceLeft          = 16.0, 0.5            // tries that a memory counts for; left by a sum
	penaltyPart, penaltyMost                = 0.125, 0.4           // weight of who was sick; of more, none is
	sharedPart, firstPart, restPart         = 0.375, 0.375, 0.25   // of what the channel sends in a drain's grace
	firstLeast, keptLeast                   = 3, 0.5               // lines of a part, of which all are restored; less is renewed
)
