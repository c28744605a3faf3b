# The mutations: name, file, package, test, Perl expression on the whole file.
log=.
mutate commit-by-minority quorum/replication.go ./quorum $log 's/matched\[\(len\(matched\)-1\)\/2\]/matched[len(matched)-1]/'
mutate commit-older-term quorum/replication.go ./quorum $log 's/!ok \|\| term != core\.hard\.Term/!ok || term > core.hard.Term/'
mutate vote-not-durable quorum/election.go ./quorum $log 's/core\.hard\.Vote = message\.From\n\t\tcore\.saveHardState\(\)/core.hard.Vote = message.From/'
mutate vote-for-short-log quorum/election.go ./quorum $log 's/core\.role != Leader &&\n\t\tcore\.log\.isUpToDate\(message\.LastIndex, message\.LastTerm\)/core.role != Leader/'
mutate vote-twice quorum/election.go ./quorum $log 's/\(core\.hard\.Vote == "" \|\| core\.hard\.Vote == message\.From\) &&/true &&/'
mutate entry-not-durable quorum/replication.go ./quorum $log 's/core\.log\.put\(entry\)\n\t\tcore\.saveEntry\(entry\)/core.log.put(entry)/'
mutate leadership-too-long quorum/core.go ./quorum $log 's/ElectionTimeout\*3\/4/ElectionTimeout*2/'
mutate leadership-from-answer quorum/replication.go ./quorum $log 's/peer\.contact = sent/peer.contact = now/'
mutate vote-right-after-start quorum/election.go ./quorum $log 's/ \|\| now\.Sub\(core\.started\) < core\.settings\.ElectionTimeout//'
mutate two-membership-changes quorum/core.go ./quorum $log 's/core\.membersIndex > core\.commit \|\| //'
mutate vote-on-empty-disk quorum/property_test.go ./quorum $log 's/lost\.gone = true\n/lost.durable = quorum.Durable{}\n\tworld.start(lost)\n\treturn\n/; s/\tworld\.wipes\+\+\n.*?\n}\n/}\n/s'
